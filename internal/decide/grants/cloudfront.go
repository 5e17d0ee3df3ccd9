package grants

import (
	"bytes"
	"crypto"
	_ "crypto/sha1" // for crypto.SHA1.New
	"encoding/base64"
	"encoding/json"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// cloudFront is Amazon CloudFront's signed URLs and cookies, as described in its
// developer guide: a JSON policy, signed by RSA PKCS #1 v1.5 or ECDSA P-256 over
// its SHA-1 digest, or SHA-256 if Hash-Algorithm says so.
//
//	URL?...&Expires=UNIX&Signature=SIG&Key-Pair-Id=ID    canned: one URL and an expiry
//	URL?...&Policy=B64&Signature=SIG&Key-Pair-Id=ID      custom: any policy
//	Cookie: CloudFront-Policy=B64; CloudFront-Signature=SIG; CloudFront-Key-Pair-Id=ID
//
// Cookies carry both forms under the prefix CloudFront-. The fields may be in any
// order. The base64 alphabet has - for +, ~ for / and _ for =.
type cloudFront struct{}

const (
	cfExpires = iota
	cfPolicy
	cfSignature
	cfKeyPairID
	cfHash
)

var cfNames = []string{"Expires", "Policy", "Signature", "Key-Pair-Id", "Hash-Algorithm"}

var cfEncoding = base64.NewEncoding(
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-~").WithPadding('_').Strict()

func (cloudFront) fieldNames(*Profile) fieldNames {
	n := fieldNames{identifying: 1<<cfPolicy | 1<<cfKeyPairID}
	n.byCarrier[inQuery] = cfNames
	for _, name := range cfNames {
		n.byCarrier[inCookie] = append(n.byCarrier[inCookie], "CloudFront-"+name)
	}
	return n
}

func (cloudFront) carriesKeyName() bool { return true }

func (cloudFront) sameFormat(f format) bool { _, ok := f.(cloudFront); return ok }

func (cloudFront) signsURL(cred *credential) bool { return cred.present&(1<<cfPolicy) == 0 }

// cfPolicyDoc is a policy in the one form that the developer guide describes.
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

const unixSecondsLimit = 1_000_000_000_000 // Unix times have at most 12 digits

func (t *cfTime) micros() (Micros, bool) {
	if t == nil {
		return 0, true
	}
	return t.Seconds * 1_000_000, t.Seconds > 0 && t.Seconds < unixSecondsLimit
}

func (cloudFront) parse(cred *credential) (*token, Refusal) {
	const required = 1<<cfSignature | 1<<cfKeyPairID
	canned := cred.present&(1<<cfExpires) != 0
	if cred.present&required != required || canned == (cred.present&(1<<cfPolicy) != 0) {
		return nil, MalformedSignature
	}
	var hash crypto.Hash
	switch {
	case cred.present&(1<<cfHash) == 0 || cred.values[cfHash] == "SHA1":
		hash = crypto.SHA1
	case cred.values[cfHash] == "SHA256":
		hash = crypto.SHA256
	default:
		return nil, WrongAlgorithm
	}
	signature, err := cfEncoding.DecodeString(cred.values[cfSignature])
	if err != nil || len(signature) == 0 || len(signature) > keyring.MaxRSABits/8 {
		return nil, MalformedSignature
	}
	t := &token{}
	for _, p := range cred.profiles {
		if t.key = p.Ring.Find(cred.values[cfKeyPairID]); t.key != nil {
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
		if t.expires, ok = parseSeconds(cred.values[cfExpires]); !ok {
			return nil, MalformedSignature
		}
		policy = cannedPolicy(cred.url(t.profile.BaseURL), cred.values[cfExpires])
	} else if policy, err = cfEncoding.DecodeString(cred.values[cfPolicy]); err != nil || !t.applyPolicy(policy) {
		return nil, MalformedSignature
	}
	t.signed = string(policy)
	digest := hash.New()
	digest.Write(policy)
	t.pendingSignature = PendingSignature{token: t, publicKey: t.key.Public, hash: hash, message: digest.Sum(nil), signature: signature}
	return t, ""
}

// cannedPolicy returns the policy that is signed for one URL and an expiry.
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

// applyPolicy parses a custom policy into the token. It returns false if the policy
// has unknown fields or is invalid.
func (t *token) applyPolicy(text []byte) bool {
	var doc cfPolicyDoc
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&doc) != nil || len(bytes.TrimSpace(text[decoder.InputOffset():])) > 0 || len(doc.Statement) != 1 {
		return false
	}
	statement := &doc.Statement[0]
	var ok, notBeforeOK bool
	t.expires, ok = statement.Condition.DateLessThan.micros()
	t.notBefore, notBeforeOK = statement.Condition.DateGreaterThan.micros()
	if !ok || !notBeforeOK || t.expires == 0 || statement.Resource == "" || len(statement.Resource) > maxPatternBytes {
		return false
	}
	if statement.Condition.IpAddress != nil {
		if t.networks, ok = parseNetworks([]string{statement.Condition.IpAddress.SourceIP}); !ok {
			return false
		}
	}
	t.scope = scope{kind: urlPattern, pattern: statement.Resource}
	return !strings.Contains(statement.Resource, "\\")
}
