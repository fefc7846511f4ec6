package openai

import (
	"wellgw/decide/resume"
)

// passthrough forwards an answer that is a single JSON object and replaces only the model's name.
type passthrough struct {
	metadata metadata
	body     []byte
	state    resume.Progress
}

func (p *passthrough) contentType() string        { return jsonType }
func (p *passthrough) progress() *resume.Progress { return &p.state }
func (p *passthrough) failure(e apiError) []byte  { return e.object() }
func (p *passthrough) complete() bool             { return false }
func (p *passthrough) heldBytes() int             { return len(p.body) }
func (p *passthrough) discardPartial()            {}
func (p *passthrough) nextAttempt()               { *p = passthrough{metadata: p.metadata} }

func (p *passthrough) translate(dst, more []byte) ([]byte, error) {
	if p.body = append(p.body, more...); len(p.body) > maxResponseBytes {
		return dst, errResponseTooLarge
	}
	return dst, nil
}

func (p *passthrough) finish(dst []byte) ([]byte, error) {
	f, err := readFields(p.body)
	if err != nil {
		return dst, err
	}
	p.state.RecordStreamEnd()
	return append(append(dst, f.replace(map[string][]byte{"model": quote(p.metadata.model)}, "model")...), '\n'), nil
}
