/** Options of {@link createNodeSettings}; addresses are `host:port`. */
interface NodeSettingsOptions {
    name: string;
    dataCentre: string;
    callerAddress: string;
    peerAddress: string;
    adminAddress: string;
    /** Address of the platform stand-in, which serves the key-value store and the list of VMs. */
    platformAddress: string;
    /** Peer addresses of the other nodes. */
    peers: readonly string[];
    /** Maximum duration of a graceful shutdown. */
    shutdownMilliseconds: number;
    /** URL to export spans to; undefined to disable tracing. */
    otlpAddress: string | undefined;
}

const peerSecret = "a-secret-for-local-deployments-only";

/**
 * Creates the content of a node's settings file.
 * @param parts - Addresses and options of the node.
 */
export function createNodeSettings(parts: NodeSettingsOptions): object {
    const { otlpAddress, platformAddress } = parts;
    return {
        vm: parts.name,
        dataCentre: parts.dataCentre,
        callerListener: parts.callerAddress,
        peerListener: parts.peerAddress,
        adminListener: parts.adminAddress,
        platform: { storeAddress: platformAddress, vmListAddress: platformAddress },
        peers: parts.peers,
        peerSecret,
        shutdownMilliseconds: parts.shutdownMilliseconds,
        ...(otlpAddress === undefined ? {} : { tracing: { otlpAddress, sampleRatio: 1 } }),
    };
}
