// Package jsontext describes where in a JSON text an error is.
package jsontext

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// DescribeError describes an error of package encoding/json with its line and column.
func DescribeError(raw []byte, err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Position(raw, int64(len(raw))) + ": cut short"
	case errors.As(err, &syntax):
		return Position(raw, syntax.Offset-1) + ": " + err.Error()
	case errors.As(err, &wrongType):
		return Position(raw, wrongType.Offset-1) + ": " + err.Error()
	default:
		return err.Error()
	}
}

// Position returns the line and the column of a byte, both counted from 1.
func Position(raw []byte, offset int64) string {
	before := raw[:min(max(offset, 0), int64(len(raw)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}
