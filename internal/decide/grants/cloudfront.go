package grants

import (
	"bytes"
	"crypto"
	_ "crypto/sha1" // by number, of signatures
	"encoding/base64"
	"encoding/json"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// cloudFront is Amazon CloudFront's signed URLs and cookies, as its developer
// guide has them: a policy in JSON, signed by RSA PKCS #1 v1.5 or ECDSA P-256
// over its SHA-1, or SHA-256 where Hash-Algorithm says so.
//
//	URL?...&Expires=UNIX&Signature=SIG&Key-Pair-Id=ID    canned: one URL and an expiry
//	URL?...&Policy=B64&Signature=SIG&Key-Pair-Id=ID      custom: what the policy says
//	Cookie: CloudFront-Policy=B64; CloudFront-Signature=SIG; CloudFront-Key-Pair-Id=ID
//
// Cookies carry both forms under the prefix CloudFront-. Order is free. Its
// base64 has - for +, ~ for / and _ for =.
type cloudFront struct{}

const (
	cfExpires = iota
	cfPolicy
	cfSignature
	cfKey
	cfHash
)

var cfNames = []string{"Expires", "Policy", "Signature", "Key-Pair-Id", "Hash-Algorithm"}

var cfEncoding = base64.NewEncoding(
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-~").WithPadding('_').Strict()

func (cloudFront) names(*Profile) names {
	n := names{telling: 1<<cfPolicy | 1<<cfKey}
	n.fields[inQuery] = cfNames
	for _, name := range cfNames {
		n.fields[inCookie] = append(n.fields[inCookie], "CloudFront-"+name)
	}
	return n
}

func (cloudFront) named() bool { return true }

func (cloudFront) kin(f format) bool { _, ok := f.(cloudFront); return ok }

func (cloudFront) bound(c *credential) bool { return c.have&(1<<cfPolicy) == 0 }

// cfStatement is the one form of policy that the guide describes.
type cfPolicyDoc struct {
	Statement []cfStatement
}

type cfStatement struct {
	Resource  string
	Condition struct {
		DateLessThan, DateGreaterThan *cfTime
		IpAddress                     *struct {
			SourceIP string `json:"AWS:SourceIp"`
		}
	}
}

type cfTime struct {
	Seconds int64 `json:"AWS:EpochTime"`
}

const mostSeconds = 1_000_000_000_000 // a Unix time has 12 digits at most

func (t *cfTime) micros() (Micros, bool) {
	if t == nil {
		return 0, true
	}
	return t.Seconds * 1_000_000, t.Seconds > 0 && t.Seconds < mostSeconds
}

func (cloudFront) read(c *credential) (*token, Refusal) {
	const must = 1<<cfSignature | 1<<cfKey
	canned := c.have&(1<<cfExpires) != 0
	if c.have&must != must || canned == (c.have&(1<<cfPolicy) != 0) {
		return nil, MalformedSignature
	}
	var hash crypto.Hash
	switch {
	case c.have&(1<<cfHash) == 0 || c.values[cfHash] == "SHA1":
		hash = crypto.SHA1
	case c.values[cfHash] == "SHA256":
		hash = crypto.SHA256
	default:
		return nil, WrongAlgorithm
	}
	signature, err := cfEncoding.DecodeString(c.values[cfSignature])
	if err != nil || len(signature) == 0 || len(signature) > keyring.MaxRSABits/8 {
		return nil, MalformedSignature
	}
	t := &token{}
	for _, p := range c.profiles {
		if t.key = p.Ring.Find(c.values[cfKey]); t.key != nil {
			t.profile = p
			break
		}
	}
	if t.key == nil {
		return nil, UnknownKey
	}
	var policy []byte
	if canned {
		var ok bool
		if t.expires, ok = seconds(c.values[cfExpires]); !ok {
			return nil, MalformedSignature
		}
		policy = cannedPolicy(c.url(t.profile.BaseURL), c.values[cfExpires])
	} else if policy, err = cfEncoding.DecodeString(c.values[cfPolicy]); err != nil || !t.policy(policy) {
		return nil, MalformedSignature
	}
	t.signed = string(policy)
	h := hash.New()
	h.Write(policy)
	t.proof = PendingSignature{token: t, public: t.key.Public, hash: hash, message: h.Sum(nil), signature: signature}
	return t, ""
}

// cannedPolicy is the text that stands for a URL and an expiry.
func cannedPolicy(url []byte, expires string) []byte {
	var b bytes.Buffer
	b.Grow(len(url) + 96)
	b.WriteString(`{"Statement":[{"Resource":"`)
	b.Write(url)
	b.WriteString(`","Condition":{"DateLessThan":{"AWS:EpochTime":`)
	b.WriteString(expires)
	b.WriteString(`}}}]}`)
	return b.Bytes()
}

// policy reads a custom policy. What it does not know refuses the whole.
func (t *token) policy(text []byte) bool {
	var doc cfPolicyDoc
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if d.Decode(&doc) != nil || len(bytes.TrimSpace(text[d.InputOffset():])) > 0 || len(doc.Statement) != 1 {
		return false
	}
	s := &doc.Statement[0]
	var ok, ok2 bool
	t.expires, ok = s.Condition.DateLessThan.micros()
	t.begins, ok2 = s.Condition.DateGreaterThan.micros()
	if !ok || !ok2 || t.expires == 0 || s.Resource == "" || len(s.Resource) > mostPattern {
		return false
	}
	if s.Condition.IpAddress != nil {
		if t.nets, ok = readNets([]string{s.Condition.IpAddress.SourceIP}); !ok {
			return false
		}
	}
	t.scope = scope{kind: urlPattern, pattern: s.Resource}
	return !strings.Contains(s.Resource, "\\")
}
