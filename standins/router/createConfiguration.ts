import { callerKey } from "./callerKey.ts";

/**
 * Creates a configuration in the format of the platform.
 * @param changes - Overrides of the members of the configuration.
 * @param engineChanges - Overrides of the members of the engine configuration.
 */
export function createConfiguration(
    version: number,
    changes: object = {},
    engineChanges: object = {},
): Record<string, unknown> {
    const base = { host: "one.example", timeout_ms: 3_000, target_latency_ms: 300, max_attempts: 2 };
    return {
        version,
        routes: [
            { ...base, name: "safe", prefix: "/safe/", kind: "idempotent", service: "documents" },
            { ...base, name: "unsafe", prefix: "/unsafe/", kind: "non_idempotent", service: "documents" },
            { ...base, name: "model", prefix: "/model/", kind: "streaming", service: "model", resumable: true },
            { ...base, name: "once", prefix: "/once/", kind: "streaming", service: "model" },
        ],
        services: [
            { name: "documents", max_conns: 50 },
            { name: "model", max_conns: 50, engine: { ...createEngine(), ...engineChanges } },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "first", api_keys: [callerKey] }],
        ...changes,
    };
}

function createEngine(): object {
    return {
        slots: 10,
        kv_bytes: 800_000,
        stride: 3,
        models: [{ name: "m", load_s: 1 }],
        step_ms: 1,
        per_seq_ms: 0.01,
        context_per_k: 0.01,
        read_per_s: 100_000,
        loads_at_once: 3,
        delays: [{ from: "a", to: "b", delay_ms: 1 }],
        usual: { prompt: 700, answer: 200 },
        layers: 8,
        layer_mb: 1_000,
        act_bytes: 1_000,
        pipe_mbps: 10_000,
        kinds: [{ name: "big", mb: 20_000, pace: 1, read_x: 1 }],
    };
}
