// Configurations of a small deployment, in the form of PROTOCOL.md.
export const apiKey = "n2ctnfzs989anu6wsjnb";
export const tenant = "hule930";
export const host = "ficu95.example";

const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/** A service of documents with a route that may be repeated and one that may not, like those of the sheets. */
export function createDocumentConfiguration() {
    const common = { host, service: "docs", timeout_ms: 800, target_latency_ms: 150, priority: 2 };
    return {
        version: 7,
        routes: [
            { ...common, name: "fetch", prefix: "/fetch/", kind: "idempotent", max_attempts: 2 },
            { ...common, name: "summary", prefix: "/summary/", kind: "non_idempotent", max_attempts: 1 },
        ],
        services: [{ name: "docs", health_path: "/health", max_conns: 110 }],
        limits,
        tenants: [{ name: tenant, api_keys: [apiKey] }],
    };
}

/** A service of a model with a resumable route. Each runner has memory for all layers. */
export function createModelConfiguration() {
    const engine = {
        slots: 134,
        kv_bytes: 918_000,
        stride: 3,
        models: [{ name: "m", load_s: 0.3 }],
        step_ms: 1.02,
        per_seq_ms: 0.00714,
        context_per_k: 0.00956,
        read_per_s: 105_000,
        pairs_per_m: 0.309,
        chunk: 512,
        loads_at_once: 4,
        delays: [],
        report_lag_ms: 200,
        usual: { prompt: 800, answer: 170 },
        layers: 8,
        layer_mb: 1_750,
        act_bytes: 45_900,
        link_mbps: 400_000,
        pipe_mbps: 26_000,
        kinds: [{ name: "a100", mb: 72_000, pace: 2.4, read_x: 3.2 }],
    };
    return {
        version: 7,
        routes: [{
            name: "explain",
            host,
            prefix: "/explain/",
            kind: "streaming",
            service: "model",
            timeout_ms: 20_000,
            target_latency_ms: 500,
            gap_aim_ms: 200,
            max_attempts: 2,
            priority: 1,
            resumable: true,
            sticky: true,
        }],
        services: [{ name: "model", health_path: "/health", max_conns: 1_138, engine }],
        limits,
        tenants: [{ name: tenant, api_keys: [apiKey] }],
    };
}
