/** Settings that the platform passes to a node at startup. All ports are on the loopback address. */
interface BootFileOptions {
    vm: string;
    dataCentre: string;
    /** Port of the listener for callers. */
    callers: number;
    readiness: number;
    peers: number;
    admin: number;
    /** Port of the listener for tunnels of other nodes. */
    tunnels: number;
    /** Addresses of the peer listeners of other nodes, as host:port. */
    seeds: readonly string[];
    /** Address of the platform's store, as host:port. */
    store: string;
    /** Time within which a change must be in force, in milliseconds. */
    configurationMilliseconds?: number;
    /** Memory of the machine, in megabytes. Default: 350. */
    memoryMegabytes?: number;
    /** Maximum number of open descriptors. Default: 4,100. */
    descriptors?: number;
}

const defaultConfigurationMilliseconds = 2_000;
const defaultMemoryMegabytes = 350;
const defaultDescriptors = 4_100;

/** Creates the content of the settings file that the platform writes for a node. */
export function createBootFile(options: BootFileOptions): string {
    const { vm, dataCentre, callers, readiness, peers, admin, tunnels, seeds, store } = options;
    const { configurationMilliseconds = defaultConfigurationMilliseconds } = options;
    const { memoryMegabytes = defaultMemoryMegabytes, descriptors = defaultDescriptors } = options;
    return JSON.stringify({
        node_name: vm,
        zone: dataCentre,
        ip: "127.0.0.1",
        listen: { front: `127.0.0.1:${callers}`, ready: `127.0.0.1:${readiness}`, control: `127.0.0.1:${peers}` },
        internal_ports: [admin, tunnels],
        seeds,
        limits: { cpu_share: 0.675, cores: 1, memory_mb: memoryMegabytes, max_fds: descriptors, link_mbps: 1_000 },
        bounds: {
            config_apply_ms: configurationMilliseconds,
            drain_ms: 2_000,
            grace_s: 8,
            retry_budget_ratio: 0.2,
            budget_window_s: 10,
            retry_budget_slack: 200,
        },
        platform: { address: store },
    });
}
