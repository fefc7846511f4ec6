package simulator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const testOptions = `{"az":"a","balancers":2,"zones":["a"],"unknown_key":1,
"classes":[{"aim":1200000,"effect":"free","gain":1.0,"group":"all","name":"c"}],
"family_info":{"aim_us_per_1000_prompt_tokens":[40000.0],"duty_by_kind":["read","write"],"pin_limit":500000,
"token_aim":[60000.0],"tokens_by_kind":[259519,164852]},"kinds":["prefill","decode"],
"limits":{"cancelling":true,"max_retry_after":500000,"retry_after":true,"send_cap":6},
"report":{"columns":["latency_ms","x0","x1"],"source":"piggyback"},
"rules":{"cold":13000000,"cold_share":0.28,"fall":2000000,"fall_multiple":2.5},"tick":4000}`

func hello(instance int) string {
	return fmt.Sprintf(`{"verb":"Hello","who":%d,"salt":-5,"options":%s}`, instance, strings.ReplaceAll(testOptions, "\n", "")) + "\n"
}

func fleet(instance, list int) string {
	return fmt.Sprintf(`{"verb":"Fleet","who":%d,"scope":"C","gen":1,"list":%d}`, instance, list) + "\n"
}

func directory(list int, prefillEngine string) string {
	return fmt.Sprintf(`{"verb":"Directory","list":%d,"lines":[`+
		`{"came_up":null,"worker":"%s","family_type":"prefill","bay":0,"scale":1,"dc":"a","phase":"on"},`+
		`{"came_up":0,"worker":"w1","family_type":"decode","bay":0,"scale":1,"dc":"a","phase":"on"}]}`, list, prefillEngine) + "\n"
}

func call(instance, id int) string {
	return fmt.Sprintf(`{"verb":"Call","who":%d,"xid":%d,"resent":false,"lane":"c","team":0,"prefix":null,`+
		`"max_tokens":256,"ttl":2400000,"talk":"chat/k","prefix_len":0,"reconnect":false,"predicted":null,`+
		`"prompt_tokens":1800}`, instance, id) + "\n"
}

func batch(number, time int, events ...string) string {
	return fmt.Sprintf(`{"verb":"Turn","time":%d,"turn":%d}`, time, number) + "\n" + strings.Join(events, "") +
		`{"verb":"EofBatch"}` + "\n"
}

func serve(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestEmptyBatch(t *testing.T) {
	if got, want := serve(t, batch(1, 8412250)), `{"verb":"End","turn":1}`+"\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestRequestFromCallToServed(t *testing.T) {
	in := batch(1, 1000, hello(3), directory(0, "r1"), fleet(3, 0), call(3, 4000000001)) +
		batch(2, 31000, `{"verb":"Verdict","who":3,"xid":4000000001,"copy":0,"latency":30000,"last":false,"worker":"r1",`+
			`"info":0,"reason":"ready_to_answer","usage":{"latency_ms":14.5,"x0":0.4,"x1":1.25}}`+"\n") +
		batch(3, 51000, `{"verb":"UnderWay","who":3,"xid":4000000001,"copy":1,"worker":"w1","latency":9250}`+"\n") +
		batch(4, 91000, `{"verb":"Verdict","who":3,"xid":4000000001,"copy":1,"latency":60000,"last":true,"worker":"w1",`+
			`"info":null,"reason":"S","usage":null}`+"\n")
	out := serve(t, in)
	for _, want := range []string{
		`{"verb":"Issue","who":3,"xid":4000000001,"worker":"r1","limit":`,
		`{"verb":"Issue","who":3,"xid":4000000001,"worker":"w1","limit":`,
		`{"verb":"End","turn":4}`,
	} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %s:\n%s", want, out)
		}
	}
	if strings.Contains(out, "Decline") || strings.Contains(out, "Die") {
		t.Errorf("request declined or router failed:\n%s", out)
	}
}

func TestEngineListNumbersResolveInInputOrder(t *testing.T) {
	out := serve(t, batch(1, 1000, hello(0), hello(1), directory(0, "old"), fleet(0, 0), directory(0, "new"), fleet(1, 0),
		call(0, 1), call(1, 2)))
	if !strings.Contains(out, `"xid":1,"worker":"old"`) || !strings.Contains(out, `"xid":2,"worker":"new"`) {
		t.Errorf("requests not sent to the engines of their lists:\n%s", out)
	}
}

func TestInstanceRestartsWithinOneBatch(t *testing.T) {
	out := serve(t, batch(1, 1000, hello(0), directory(0, "r1"), fleet(0, 0), call(0, 1))+
		batch(2, 2000, `{"verb":"Destroy","who":0}`+"\n", hello(0), directory(1, "r2"), fleet(0, 1), call(0, 2)))
	if !strings.Contains(out, `"xid":2,"worker":"r2"`) {
		t.Errorf("request not sent to the restarted instance's engine:\n%s", out)
	}
}

func TestInstancesInOneProcessAreIndependent(t *testing.T) {
	run := func(instances ...int) string {
		var first, second []string
		for _, instance := range instances {
			first = append(first, hello(instance), directory(0, "r1"), fleet(instance, 0), call(instance, 10+instance))
			second = append(second, fmt.Sprintf(`{"verb":"DeadlineHit","who":%d,"mark":"tick"}`, instance)+"\n", call(instance, 20+instance))
		}
		return serve(t, batch(1, 1000, first...)+batch(2, 60000, second...))
	}
	lines := func(out string, instance int) (matching []string) {
		for _, l := range strings.Split(out, "\n") {
			if strings.Contains(l, fmt.Sprintf(`"who":%d,`, instance)) {
				matching = append(matching, l)
			}
		}
		return matching
	}
	together := run(0, 1, 2)
	for instance := range 3 {
		a, b := lines(together, instance), lines(run(instance), instance)
		if len(a) == 0 || strings.Join(a, "\n") != strings.Join(b, "\n") {
			t.Errorf("instance %d: output %v with other instances, %v alone", instance, a, b)
		}
	}
}

func TestInputErrorNamesLineAndCause(t *testing.T) {
	for name, c := range map[string]struct{ in, line, cause string }{
		"malformed":        {`{"verb":"Turn","time":1,"turn":1}` + "\n{nonsense\n", "line 2", "malformed JSON"},
		"unfinished batch": {`{"verb":"Turn","time":1,"turn":7}` + "\n", "line 2", "within batch 7"},
		"unknown event":    {batch(1, 1, hello(0), `{"verb":"Nonesuch","who":0}`+"\n"), "line 3", "Nonesuch"},
		"never started":    {batch(1, 1, `{"verb":"Gone","who":4,"xid":1}`+"\n"), "line 2", "never started"},
		"outside batch":    {`{"verb":"Gone","who":4,"xid":1}` + "\n", "line 1", "outside a batch"},
		"nested batch":     {`{"verb":"Turn","time":1,"turn":1}` + "\n" + `{"verb":"Turn","time":1,"turn":2}` + "\n", "line 2", "inside batch 1"},
		"undefined list":   {batch(1, 1, hello(0), fleet(0, 9)), "line 3", "list 9"},
		"unknown outcome":  {batch(1, 1, hello(0), `{"verb":"Verdict","who":0,"reason":"Q"}`+"\n"), "line 3", `"Q"`},
	} {
		var out bytes.Buffer
		err := Serve(strings.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.line) || !strings.Contains(err.Error(), c.cause) {
			t.Errorf("%s: error %v, want %s and %s", name, err, c.line, c.cause)
		}
		if out.Len() > 0 {
			t.Errorf("%s: wrote %q before the error", name, out.String())
		}
	}
}

func TestInvalidOptionsAreReportedAsDie(t *testing.T) {
	out := serve(t, batch(1, 1, strings.Replace(hello(0), `"send_cap":6`, `"send_cap":0`, 1)))
	if !strings.Contains(out, `"verb":"Die","who":0,"message":"MaxAttempts`) {
		t.Errorf("no Die action for invalid options:\n%s", out)
	}
}
