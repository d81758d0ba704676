// Package service is the root of the ingest and dispatch service; its parts
// are in the packages below it. docs/DESIGN-SERVICE.md describes them.
package service
