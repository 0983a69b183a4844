#include "galenagw/config/config.h"

#include <string.h>

#include "schema.h"

const char *const GwTier_Names[GW_TIERS] = {"paying", "trial"};

static bool check_references_(const json_t *effective, const GwYaml *yaml,
                              GwError *err);
static void read_classes_(GwConfig *config, const json_t *value);
static void read_accounts_(GwConfig *config, const json_t *value);
static void read_models_(GwConfig *config, const json_t *value);
static void read_services_(GwConfig *config, const json_t *value);
static void read_tuning_(GwTuning *t, const json_t *value);
static void delete_class_(gpointer p);
static void delete_account_(gpointer p);
static void delete_model_(gpointer p);
static void delete_service_(gpointer p);
static char *copy_text_(const json_t *value, const char *name);

bool
GwConfig_Check(const json_t *effective, const GwYaml *yaml, GwError *err)
{
    return Schema_Check(Schema_Root, effective, "", yaml, err) &&
           check_references_(effective, yaml, err);
}

GwConfig *
GwConfig_New(const json_t *effective, GwError *err)
{
    GwConfig *config;

    if (!GwConfig_Check(effective, NULL, err))
        return NULL;
    config = g_new0(GwConfig, 1);
    config->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, delete_class_);
    config->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, delete_account_);
    config->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, delete_model_);
    config->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, delete_service_);
    read_classes_(config, json_object_get(effective, "classes"));
    read_accounts_(config, json_object_get(effective, "accounts"));
    read_models_(config, json_object_get(effective, "models"));
    read_services_(config, json_object_get(effective, "services"));
    read_tuning_(&config->tuning, json_object_get(effective, "tuning"));
    return config;
}

void
GwConfig_Delete(GwConfig *config)
{
    if (config == NULL)
        return;
    // Accounts have pointers to classes, so classes are freed last.
    g_hash_table_unref(config->accounts);
    g_hash_table_unref(config->models);
    g_hash_table_unref(config->services);
    g_hash_table_unref(config->classes);
    g_free(config);
}

const GwAccount *
GwConfig_Authenticate(const GwConfig *config, const char *bearer)
{
    const char *dot = strchr(bearer, '.');
    g_autofree char *name = NULL;
    g_autofree char *hash = NULL;
    const GwAccount *a;
    unsigned diff = 0;

    if (dot == NULL)
        return NULL;
    name = g_strndup(bearer, (gsize)(dot - bearer));
    a = g_hash_table_lookup(config->accounts, name);
    if (a == NULL)
        return NULL;
    hash = GwConfig_HashKey(a->key_salt, dot + 1);
    if (strlen(hash) != strlen(a->key_hash))
        return NULL;
    // Compares in constant time, so that timing does not reveal the hash.
    for (size_t i = 0; hash[i] != '\0'; i++)
        diff |= (unsigned)(hash[i] ^ a->key_hash[i]);
    return diff == 0 ? a : NULL;
}

char *
GwConfig_HashKey(const char *salt, const char *secret)
{
    return g_compute_hmac_for_string(G_CHECKSUM_SHA256, (const guchar *)salt,
                                     strlen(salt), secret, -1);
}

bool
GwService_IsIdempotent(const GwService *service, const char *method)
{
    return g_strv_contains((const char *const *)service->idempotent_methods,
                           method);
}

// Checks that the class of each account is defined.
static bool
check_references_(const json_t *effective, const GwYaml *yaml, GwError *err)
{
    const json_t *classes = json_object_get(effective, "classes");
    const char *key;
    json_t *account;

    json_object_foreach(json_object_get(effective, "accounts"), key, account)
    {
        const char *name =
            json_string_value(json_object_get(account, "class"));
        g_autofree char *path = g_strdup_printf("accounts.%s.class", key);
        bool known = json_object_get(classes, name) != NULL;

        if (known)
            continue;
        return GwError_Set(err, GW_ERROR_CONFIG,
                           "%s:%d: %s '%s' is not defined under classes; add "
                           "it there or choose another",
                           yaml != NULL ? yaml->file : "document",
                           yaml != NULL ? GwYaml_Line(yaml, path) : 0, path,
                           name);
    }
    return true;
}

static void
read_classes_(GwConfig *config, const json_t *value)
{
    const SchemaField *fields = Schema_Fields(Schema_Root, "classes");
    const char *key;
    json_t *member;

    json_object_foreach((json_t *)value, key, member)
    {
        GwTrafficClass *c = g_new0(GwTrafficClass, 1);

        c->name = g_strdup(key);
        c->urgency = (int)Schema_Number(fields, member, "urgency");
        c->first_token_ms =
            (int)Schema_Number(fields, member, "first_token_ms");
        g_hash_table_insert(config->classes, c->name, c);
    }
}

static void
read_accounts_(GwConfig *config, const json_t *value)
{
    const SchemaField *fields = Schema_Fields(Schema_Root, "accounts");
    const char *key;
    json_t *member;

    json_object_foreach((json_t *)value, key, member)
    {
        GwAccount *a = g_new0(GwAccount, 1);
        const char *tier = json_string_value(json_object_get(member, "tier"));

        a->name = g_strdup(key);
        a->tier = strcmp(tier, "trial") == 0 ? GW_TIER_TRIAL : GW_TIER_PAYING;
        a->class_ = g_hash_table_lookup(
            config->classes,
            json_string_value(json_object_get(member, "class")));
        a->key_salt = copy_text_(member, "key_salt");
        a->key_hash = copy_text_(member, "key_hash");
        a->requests_per_s = Schema_Number(fields, member, "requests_per_s");
        g_hash_table_insert(config->accounts, a->name, a);
    }
}

static void
read_models_(GwConfig *config, const json_t *value)
{
    const char *key;
    json_t *member;

    json_object_foreach((json_t *)value, key, member)
    {
        GwModel *m = g_new0(GwModel, 1);

        m->name = g_strdup(key);
        m->weights = copy_text_(member, "weights");
        m->adapter = copy_text_(member, "adapter");
        g_hash_table_insert(config->models, m->name, m);
    }
}

static void
read_services_(GwConfig *config, const json_t *value)
{
    const SchemaField *fields = Schema_Fields(Schema_Root, "services");
    const char *key;
    json_t *member;

    json_object_foreach((json_t *)value, key, member)
    {
        GwService *s = g_new0(GwService, 1);
        const json_t *methods = json_object_get(member, "idempotent_methods");
        size_t n = json_array_size(methods);

        s->name = g_strdup(key);
        s->key_life_s = (int)Schema_Number(fields, member, "key_life_s");
        s->idempotent_methods = g_new0(char *, n + 1);
        for (size_t i = 0; i < n; i++)
            s->idempotent_methods[i] =
                g_strdup(json_string_value(json_array_get(methods, i)));
        g_hash_table_insert(config->services, s->name, s);
    }
}

static void
read_tuning_(GwTuning *t, const json_t *value)
{
    const SchemaField *f = Schema_Fields(Schema_Root, "tuning");

    t->paying_reserve = Schema_Number(f, value, "paying_reserve");
    t->trial_cache_share = Schema_Number(f, value, "trial_cache_share");
    t->queue_max = (int)Schema_Number(f, value, "queue_max");
    t->probes = (int)Schema_Number(f, value, "probes");
    t->recompute_weight = Schema_Number(f, value, "recompute_weight");
    t->retry_share = Schema_Number(f, value, "retry_share");
    t->weight_loads = (int)Schema_Number(f, value, "weight_loads");
    t->order_lease_ms = (int)Schema_Number(f, value, "order_lease_ms");
}

static void
delete_class_(gpointer p)
{
    GwTrafficClass *c = p;

    g_free(c->name);
    g_free(c);
}

static void
delete_account_(gpointer p)
{
    GwAccount *a = p;

    g_free(a->name);
    g_free(a->key_salt);
    g_free(a->key_hash);
    g_free(a);
}

static void
delete_model_(gpointer p)
{
    GwModel *m = p;

    g_free(m->name);
    g_free(m->weights);
    g_free(m->adapter);
    g_free(m);
}

static void
delete_service_(gpointer p)
{
    GwService *s = p;

    g_free(s->name);
    g_strfreev(s->idempotent_methods);
    g_free(s);
}

// The text member `name` of `value`, or "".
static char *
copy_text_(const json_t *value, const char *name)
{
    const char *text = json_string_value(json_object_get(value, name));

    return g_strdup(text != NULL ? text : "");
}
