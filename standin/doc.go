// Package standin implements stand-ins for the external systems that
// wagtaildrum uses: a model engine, a tool service, and the platform's table
// service, object store and instance list. They implement the published
// protocols of these systems and can inject faults. They are for tests and
// local runs only.
package standin
