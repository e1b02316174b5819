// Package logs builds the loggers of all programs. Each event is a line of key=value
// pairs (logfmt).
//
// # Usage
//
//	log, err := logs.New("info", os.Stderr)
//	log.Info("shard acquired", zap.String("shard", id), zap.Int64("epoch", epoch))
//	log.Warn("renewal refused", logs.Err(err)...)
package logs

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"limpethitch.example/core/rcode"
)

// New returns a logger that writes lines at or above level to w.
func New(level string, w io.Writer) (*zap.Logger, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, rcode.Wrap(err, rcode.SettingInvalid, "logs.New")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}

// Err returns the code and the message of err as fields. zap.Error is not used since
// it would add the stack trace of a cockroachdb/errors value to each line.
func Err(err error) []zap.Field {
	if err == nil {
		return nil
	}
	return []zap.Field{zap.String("code", string(rcode.Of(err))), zap.String("error", err.Error())}
}
