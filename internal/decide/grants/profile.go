package grants

import (
	"crypto/hmac"
	"crypto/md5"
	"crypto/sha1"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"net/url"
	"slices"

	"cherryramp/internal/decide/keyring"
)

// The formats.
const (
	EdgeAuth   = "edgeauth"   // Akamai EdgeAuth 2.0
	CloudCDN   = "cloudcdn"   // Google Cloud CDN: HMAC-SHA1
	MediaCDN   = "mediacdn"   // Google Media CDN: Ed25519
	CloudFront = "cloudfront" // Amazon CloudFront
	CDNI       = "cdni"       // CDNI URI Signing, RFC 9246
	Timed      = "timed"      // keyed digests as an operator describes them
)

// Formats names all formats.
var Formats = []string{EdgeAuth, CloudCDN, MediaCDN, CloudFront, CDNI, Timed}

// Profile is one way in which links are signed: a format, a ring, and what an
// operator has to say of the format.
type Profile struct {
	Name    string
	Tenant  string // whose links these are
	Format  string
	Ring    *keyring.Ring
	BaseURL string // scheme and host that signed URLs begin with
	Skew    Micros // that clocks may differ by, where the key has none of its own

	Query, Cookie, Header string // names of the one field of a token; empty: not carried there

	RequireBranch      bool // a token's data must name the own branch
	AllowMissingBranch bool // or may be left out

	Digest        string // of EdgeAuth and Timed: sha256, sha1, md5; Timed: also hmac-sha256 and so on
	Salt          string // of EdgeAuth
	AllowNoExpiry bool   // of CDNI: tokens without an expiry are good
	Issuers       []string
	Audience      string
	TimedFormat   TimedFormat // of Timed

	format   format
	macs     map[*keyring.Key]hash.Hash
	macSize  int       // bytes of a keyed digest
	macBuf   []byte    // used anew by each digest
	inputBuf [512]byte // used anew by each digest
}

var digests = map[string]func() hash.Hash{"sha256": sha256.New, "sha1": sha1.New, "md5": md5.New}

const minHS256Bytes = 32 // bytes

// Digests names the digests that EdgeAuth and Timed take.
var Digests = []string{"sha256", "sha1", "md5"}

// Check tells what of a profile can't be used; the error begins with its key.
func (p *Profile) Check() error {
	macDigest := p.Digest
	kinds := []keyring.Kind{keyring.Secret}
	switch p.Format {
	case EdgeAuth:
		p.format = edgeAuth{}
		if macDigest == "" {
			macDigest = "sha256"
		}
	case CloudCDN:
		p.format, macDigest = google{}, "sha1"
	case MediaCDN:
		p.format, macDigest = google{}, ""
		kinds = []keyring.Kind{keyring.Ed25519}
	case CloudFront:
		p.format, macDigest = cloudFront{}, ""
		kinds = []keyring.Kind{keyring.RSA, keyring.P256}
	case CDNI:
		p.format, macDigest = cdni{}, ""
		kinds = []keyring.Kind{keyring.Secret, keyring.RSA, keyring.P256, keyring.Ed25519}
	case Timed:
		d, err := p.TimedFormat.compile()
		if err != nil {
			return fmt.Errorf("describe.%w", err)
		}
		if p.format, macDigest = d, ""; d.useHMAC {
			macDigest = d.digest
		}
	default:
		return fmt.Errorf("format: %q is none of %v", p.Format, Formats)
	}
	if p.BaseURL == "" && slices.Contains([]string{CloudCDN, MediaCDN, CloudFront, CDNI}, p.Format) {
		return errors.New("base: missing, what is signed begins with it")
	}
	if base, err := url.Parse(p.BaseURL); p.BaseURL != "" &&
		(err != nil || base.Host == "" || base.Scheme+"://"+base.Host != p.BaseURL) {
		return fmt.Errorf("base: %q is not scheme://host", p.BaseURL)
	}
	p.macs = map[*keyring.Key]hash.Hash{}
	for _, k := range p.Ring.Keys {
		if !slices.Contains(kinds, k.Kind) {
			return fmt.Errorf("ring: key %q of kind %s can't be used with %s", k.Name, k.Kind, p.Format)
		}
		if p.Format == CDNI && k.Kind == keyring.Secret && len(k.Bytes) < minHS256Bytes {
			return fmt.Errorf("ring: key %q has %d bytes, HS256 needs %d (RFC 7518, section 3.2)", k.Name,
				len(k.Bytes), minHS256Bytes)
		}
		if macDigest != "" {
			digest := digests[macDigest]
			if digest == nil {
				return fmt.Errorf("digest: %q is none of %v", macDigest, Digests)
			}
			p.macs[k] = hmac.New(digest, k.Bytes)
			p.macSize = p.macs[k].Size()
		}
	}
	return nil
}

// mac gives the keyed digest of texts put together. It holds until the next one
// is asked for.
func (p *Profile) mac(k *keyring.Key, texts ...string) []byte {
	h := p.macs[k]
	h.Reset()
	n := 0 // of text; what is put together is written at once, without an allocation
	for _, text := range texts {
		for text != "" {
			if n == len(p.inputBuf) {
				h.Write(p.inputBuf[:])
				n = 0
			}
			m := copy(p.inputBuf[n:], text)
			n, text = n+m, text[m:]
		}
	}
	h.Write(p.inputBuf[:n])
	p.macBuf = h.Sum(p.macBuf[:0])
	return p.macBuf
}
