package signed

import (
	"crypto/hmac"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/httpwire"
	"cherryramp/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const now = int64(1_800_000_000)

var testRules = &Rules{URLBase: "https://files.example", TokenName: "hdnts", TokenHeader: "X-Edge-Token",
	Branch: "edge-1", Skew: 2_000_000,
	URLKeys:   []Key{{"old", []byte("0123456789abcdef")}, {"new", []byte("fedcba9876543210")}},
	TokenKeys: []Key{{"t-old", []byte("0123456789abcdef")}, {"t-new", []byte("fedcba9876543210")}},
}

// signURL is the stand-in signer: it follows the published format by itself.
func signURL(target, key, secret string, expires int64) string {
	sep := "?"
	if strings.Contains(target, "?") {
		sep = "&"
	}
	target += fmt.Sprintf("%sExpires=%d&KeyName=%s", sep, expires, key)
	mac := hmac.New(sha1.New, []byte(secret))
	mac.Write([]byte("https://files.example" + target))
	return target + "&Signature=" + base64.URLEncoding.EncodeToString(mac.Sum(nil))
}

func signToken(fields, secret string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(fields))
	return fields + "~hmac=" + hex.EncodeToString(mac.Sum(nil))
}

func token(st, exp int64, acl, data string) string {
	return fmt.Sprintf("st=%d~exp=%d~acl=%s~data=%s", st, exp, acl, data)
}

const (
	oldSecret = "0123456789abcdef"
	newSecret = "fedcba9876543210"
	plain     = "/files/guide-video/17/9f3a"
)

func TestVerify(t *testing.T) {
	good := signURL(plain+"?seg=3", "new", newSecret, now+60)
	tok := signToken(token(now-60, now+60, "/files/*", "edge-1"), newSecret)
	query := func(tok string) string { return plain + "?seg=3&hdnts=" + tok }
	sign := func(fields string) string { return query(signToken(fields, newSecret)) }
	tests := []struct {
		name, target string
		header       httpwire.Header
		at           int64 // us after now
		want         error
	}{
		{"signed URL", good, nil, 0, nil},
		{"older key, while keys rotate", signURL(plain+"?seg=3", "old", oldSecret, now+60), nil, 0, nil},
		{"last moment of the skew", good, nil, 62_000_000, nil},
		{"past the skew", good, nil, 62_000_001, errExpired},
		{"key of another name", signURL(plain+"?seg=3", "old", newSecret, now+60), nil, 0, errForged},
		{"unknown key", signURL(plain+"?seg=3", "none", newSecret, now+60), nil, 0, errKey},
		{"altered path", strings.Replace(good, "9f3a", "9f3b", 1), nil, 0, errForged},
		{"altered part", strings.Replace(good, "seg=3", "seg=4", 1), nil, 0, errForged},
		{"later expiry", strings.Replace(good, fmt.Sprint(now+60), fmt.Sprint(now+61), 1), nil, 0, errForged},
		{"something after the signature", good + "&seg=4", nil, 0, errMalformed},
		{"second signature", good + good[strings.Index(good, "&Expires"):], nil, 0, errMalformed},
		{"no signature", plain + "?seg=3", nil, 0, errMissing},
		{"no expiry", plain + "?KeyName=new&Signature=AAAA", nil, 0, errMalformed},
		{"cut signature", good[:len(good)-4], nil, 0, errMalformed},
		{"unpadded signature", strings.TrimSuffix(good, "="), nil, 0, errMalformed},
		{"encoded field name", strings.Replace(good, "Expires", "%45xpires", 1), nil, 0, errMalformed},
		{"expiry of 13 digits", signURL(plain, "new", newSecret, 1_000_000_000_000), nil, 0, errMalformed},
		{"encoded dot segment", signURL("/files/guide-video/17/%2e%2e", "new", newSecret, now+60), nil, 0, errTarget},
		{"dot segment", signURL("/files/guide-video/../9f3a", "new", newSecret, now+60), nil, 0, errTarget},
		{"encoded slash", signURL("/files/guide-video/17%2f9f3a", "new", newSecret, now+60), nil, 0, errTarget},
		{"doubly encoded dots", signURL("/files/x/%252e%252e/y", "new", newSecret, now+60), nil, 0, errTarget},

		{"token in the query", query(tok), nil, 0, nil},
		{"token in a cookie", plain + "?seg=3", httpwire.Header{{Name: "Cookie", Value: "a=b; hdnts=" + tok}}, 0, nil},
		{"token in a header", plain + "?seg=3", httpwire.Header{{Name: "X-Edge-Token", Value: tok}}, 0, nil},
		{"token by the older key", query(signToken(token(now-9, now+9, "/files/*", "edge-1"), oldSecret)), nil, 0, nil},
		{"token with an encoded acl", sign(token(now-9, now+9, "%2ffiles%2f*", "edge-1")), nil, 0, nil},
		{"token without st", sign(fmt.Sprintf("exp=%d~acl=/files/*~data=edge-1", now+9)), nil, 0, nil},
		{"second pattern", sign(token(now-9, now+9, "/x/*!/files/*/9f3a", "edge-1")), nil, 0, nil},
		{"token, last moment", query(tok), nil, 62_000_000, nil},
		{"token, expired", query(tok), nil, 62_000_001, errExpired},
		{"token, first moment", query(tok), nil, -62_000_000, nil},
		{"token, early", query(tok), nil, -62_000_001, errEarly},
		{"other branch", sign(token(now-9, now+9, "/files/*", "edge-2")), nil, 0, errBranch},
		{"no branch", sign(fmt.Sprintf("st=%d~exp=%d~acl=/files/*", now-9, now+9)), nil, 0, errBranch},
		{"other path", sign(token(now-9, now+9, "/files/page-asset/*", "edge-1")), nil, 0, errPath},
		{"unknown secret", query(signToken(token(now-9, now+9, "/files/*", "edge-1"), "x")), nil, 0, errForged},
		{"altered branch", strings.Replace(query(tok), "edge-1", "edge-2", 1), nil, 0, errForged},
		{"fields out of order", sign(fmt.Sprintf("exp=%d~st=%d~acl=/files/*~data=edge-1", now+9, now-9)), nil, 0, errMalformed},
		{"field twice", sign(fmt.Sprintf("exp=%d~exp=%d~acl=/files/*~data=edge-1", now+9, now+9)), nil, 0, errMalformed},
		{"no acl", sign(fmt.Sprintf("exp=%d~data=edge-1", now+9)), nil, 0, errMalformed},
		{"oversized", sign(token(now-9, now+9, "/files/*"+strings.Repeat("!/a", 400), "edge-1")), nil, 0, errMalformed},
		{"two tokens", query(tok), httpwire.Header{{Name: "Cookie", Value: "hdnts=" + tok}}, 0, errTwice},
		{"two headers", plain, httpwire.Header{{Name: "X-Edge-Token", Value: tok}, {Name: "x-edge-token", Value: tok}}, 0, errTwice},
		{"token beside a signed URL", good, httpwire.Header{{Name: "X-Edge-Token", Value: tok}}, 0, errTwice},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			g, err := testRules.verify(x.target, x.header, now*1_000_000+x.at)
			if !errors.Is(err, x.want) && err != x.want {
				t.Fatalf("got %v, want %v", err, x.want)
			}
			if err == nil && (g.path != plain || g.query != "" && g.query != "seg=3") {
				t.Errorf("what is passed on holds more than the object: %+v", g)
			}
		})
	}
}

// Guards against a link whose signature still fits after any one byte of it was
// changed, and against a parser that garbage makes panic.
func TestVerifyRandom(t *testing.T) {
	links := []string{signURL(plain+"?seg=3", "new", newSecret, now+60),
		plain + "?hdnts=" + signToken(token(now-60, now+60, plain, "edge-1"), newSecret)}
	rapid.Check(t, func(t *rapid.T) {
		link := []byte(rapid.SampledFrom(links).Draw(t, "link"))
		i := rapid.IntRange(0, len(link)-1).Draw(t, "place")
		old := link[i]
		link[i] = rapid.ByteRange('!', '~').Draw(t, "byte")
		_, err := testRules.verify(string(link), nil, now*1_000_000)
		// The case of the hex digits of an hmac carries nothing.
		if err == nil && !strings.EqualFold(string(old), string(link[i])) {
			t.Fatalf("altered at %d and let in: %s", i, link)
		}
		_, err = testRules.verify("/"+rapid.String().Draw(t, "garbage"), nil, now*1_000_000)
		if err == nil {
			t.Fatal("garbage was let in")
		}
	})
}
