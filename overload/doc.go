// Package overload decides which programs begin while services are short of
// capacity. Engines serve as many turns under overload as at full utilisation,
// but if more programs are under way than there are slots, each of their turns
// waits and nearly all programs end late. A Controller at the program's home
// therefore admits new programs only as far as the utilisation of the services
// allows, and admitted programs continue at every instance. The package does no
// input or output.
package overload
