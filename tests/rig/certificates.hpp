// Certificates for tests, made anew by each: an authority, and certificates for names by it.
#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <string>

namespace whinledge::test {

class Authority {
public:
    Authority()
        : key_(::EVP_EC_gen("P-256")), certificate_(made(key_, "test authority", "", nullptr, nullptr)) {}
    ~Authority() {
        ::X509_free(certificate_);
        ::EVP_PKEY_free(key_);
    }
    Authority(const Authority&) = delete;
    Authority& operator=(const Authority&) = delete;

    void write(const std::string& path) const { write_certificate(path, certificate_); }
    // `names`: as in subjectAltName, "DNS:a.example,IP:127.0.0.1".
    void issue(const std::string& certificate, const std::string& key, const std::string& names,
               long days = 1) const {
        EVP_PKEY* const own = ::EVP_EC_gen("P-256");
        X509* const made_one = made(own, "server", names, certificate_, key_, days);
        write_certificate(certificate, made_one);
        std::FILE* const file = std::fopen(key.c_str(), "w");
        ::PEM_write_PrivateKey(file, own, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        ::X509_free(made_one);
        ::EVP_PKEY_free(own);
    }

private:
    static void write_certificate(const std::string& path, X509* certificate) {
        std::FILE* const file = std::fopen(path.c_str(), "w");
        ::PEM_write_X509(file, certificate);
        std::fclose(file);
    }
    static void extend(X509* to, X509* issuer, int what, const std::string& value) {
        X509V3_CTX context;
        X509V3_set_ctx_nodb(&context);
        ::X509V3_set_ctx(&context, issuer ? issuer : to, to, nullptr, nullptr, 0);
        X509_EXTENSION* const extension = ::X509V3_EXT_conf_nid(nullptr, &context, what, value.c_str());
        ::X509_add_ext(to, extension, -1);
        ::X509_EXTENSION_free(extension);
    }
    static X509* made(EVP_PKEY* key, const std::string& name, const std::string& names, X509* issuer,
                      EVP_PKEY* issuer_key, long days = 1) {
        X509* const to = ::X509_new();
        static long serial = 1;
        ::X509_set_version(to, 2);
        ::ASN1_INTEGER_set(::X509_get_serialNumber(to), serial++);
        ::X509_gmtime_adj(::X509_getm_notBefore(to), -3 * 86400);
        ::X509_gmtime_adj(::X509_getm_notAfter(to), days * 86400);
        ::X509_set_pubkey(to, key);
        X509_NAME* const subject = ::X509_get_subject_name(to);
        ::X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                     reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        ::X509_set_issuer_name(to, issuer ? ::X509_get_subject_name(issuer) : subject);
        if (!issuer) extend(to, issuer, NID_basic_constraints, "critical,CA:TRUE");
        if (!issuer) extend(to, issuer, NID_key_usage, "critical,keyCertSign");
        if (!names.empty()) extend(to, issuer, NID_subject_alt_name, names);
        ::X509_sign(to, issuer_key ? issuer_key : key, ::EVP_sha256());
        return to;
    }

    EVP_PKEY* key_;
    X509* certificate_;
};

}  // namespace whinledge::test
