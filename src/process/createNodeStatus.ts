import type { EndpointDirectory } from "../connection/endpoint/endpointDirectory.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import type { NodeStatus } from "./admin/nodeStatus.ts";
import type { MembershipView } from "./membership/membershipView.ts";

/** Data that a {@link NodeStatus} is created from. */
interface NodeStatusParts {
    view: MembershipView;
    directory: EndpointDirectory;
    readiness: { ready: boolean; reason: string; };
    version: ConfigurationVersion | undefined;
    storeSilentMilliseconds: number | undefined;
    peersSilentMilliseconds: number | undefined;
    runningRequests: number;
    queuedRequests: number;
    flowBoundTokensPerSecond: number | undefined;
    tokensPerSecond: number;
}

/** Creates the status of a node that operators see. */
export function createNodeStatus(parts: NodeStatusParts): NodeStatus {
    const { view, directory, readiness, version, ...statistics } = parts;
    const self = view.getSelf();
    return {
        vm: self.nodeId,
        dataCentre: self.dataCentre,
        ready: readiness.ready,
        reason: readiness.reason,
        configurationVersion: version?.version ?? 0,
        configurationEdit: version?.editId ?? "",
        ...statistics,
        members: view.getMembers().map(({ nodeId, dataCentre, state, configurationVersion }) => {
            return { vm: nodeId, dataCentre, state, configurationVersion };
        }),
        endpoints: directory.getStates().map(({ endpoint, state }) => ({ endpoint, state })),
    };
}
