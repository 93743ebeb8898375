/** What the settings of a deployed node are made of; addresses are `host:port`. */
interface NodeSettingsParts {
    name: string;
    dataCentre: string;
    callerAddress: string;
    peerAddress: string;
    adminAddress: string;
    /** Address of the platform's stand-in: key-value service and list of machines. */
    platformAddress: string;
    /** Peer addresses of the other nodes. */
    peers: readonly string[];
    /** Longest time of a graceful shutdown. */
    shutdownMilliseconds: number;
    /** URL that spans are exported to; none are where undefined. */
    otlpAddress: string | undefined;
}

const peerSecret = "a-secret-for-local-deployments-only";

/**
 * Creates the content of a node's settings file.
 * @param parts - Addresses and options of the node.
 */
export function createNodeSettings(parts: NodeSettingsParts): object {
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
