package logs

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// flattenErrors replaces errors by their messages, so that an event stays one short
// line.
func flattenErrors(fields []zapcore.Field) []zapcore.Field {
	flat := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		flat[i] = f
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			flat[i] = zap.String(f.Key, err.Error())
		}
	}
	return flat
}

func droppedLine(count int) string {
	return fmt.Sprintf("time=%s level=warn event=lines-dropped count=%d\n", time.Now().UTC().Format("2006-01-02T15:04:05.000000Z"), count)
}
