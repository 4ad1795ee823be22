// Package standin holds small stand-ins for the outside systems
// wagtaildrum meets: a model engine, a tool service and the platform's
// table service, object store and instance list. They speak the published
// protocols the real systems speak, with faults that tests can switch on.
// They are for tests and local runs only.
package standin
