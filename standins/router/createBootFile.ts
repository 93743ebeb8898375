/** What the platform tells a node at its start; ports are of the loopback address. */
interface BootOptions {
    vm: string;
    dataCentre: string;
    /** Ports of the listeners. */
    callers: number;
    readiness: number;
    peers: number;
    admin: number;
    /** host:port of other nodes' listeners for peers. */
    seeds: readonly string[];
    /** host:port of the store. */
    store: string;
}

/** Creates the settings file that the platform writes for a node. */
export function createBootFile(options: BootOptions): string {
    const { vm, dataCentre, callers, readiness, peers, admin, seeds, store } = options;
    return JSON.stringify({
        node_name: vm,
        zone: dataCentre,
        ip: "127.0.0.1",
        listen: { front: `127.0.0.1:${callers}`, ready: `127.0.0.1:${readiness}`, control: `127.0.0.1:${peers}` },
        internal_ports: [admin, admin],
        seeds,
        bounds: {
            config_apply_ms: 2_000,
            drain_ms: 2_000,
            grace_s: 8,
            retry_budget_ratio: 0.2,
            budget_window_s: 10,
            retry_budget_slack: 200,
        },
        platform: { address: store },
    });
}
