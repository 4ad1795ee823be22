// Package history defines the turns of a conversation between a program and
// engines. A turn holds the new input of a request and the events of the
// response, and names the turns that it continues. The prompt of a conversation
// is rebuilt from its turns byte for byte. The package performs no input or
// output.
package history
