import type { CreateSocket } from "../../connection/upstream/path/createSocket.ts";
import type { EndpointProtocol } from "../../request/relay/endpointProtocol.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { Result } from "../../result.ts";
import type { RoutingConfiguration } from "../../version/routing/routingConfiguration.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { EventLoopMonitor } from "../loop/eventLoopMonitor.ts";
import type { InputBarrier } from "../loop/inputBarrier.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordStore } from "../replica/recordStore.ts";
import type { RouterSettings } from "./routerSettings.ts";

/** Keys in the platform's store. */
interface RouterKeys {
    /** The configuration in force. */
    configuration: string;
    /** Prefix of the endpoints' records. */
    endpointPrefix: string;
    /** The lease of the node that places layers. */
    placementLease: string;
    /** Prefix of the layer plans; the service's name follows. */
    placementPrefix: string;
    /** The quarantined requests. */
    quarantine: string;
}

/** Options of a router node. */
export interface RouterNodeOptions {
    /** Changes with each start of the process. */
    nodeId: string;
    /** Version of the program. */
    version: string;
    settings: RouterSettings;
    /** Clock of all parts of the node, which measures the lag of the event loop. */
    clock: EventLoopMonitor;
    /** Delays outgoing messages until all received input is read. */
    barrier: Pick<InputBarrier, "defer">;
    random: RandomSource;
    log: EventLog;
    metrics: Metrics;
    /** Assigns duties to nodes. */
    owners: RendezvousOwners;
    store: Pick<PlatformStore, "get" | "compareAndSwap"> & RecordStore & {
        /** Reads a key at a lower cost; the value may be some seconds old. */
        getStale: PlatformStore["get"];
        /** Makes the cheapest call; returns false if it is not answered soon. */
        isAnswering(): Promise<boolean>;
        /** Gets the era of the store, which rises each time that it is restored from an older snapshot; undefined if it is unknown. */
        getEra(): number | undefined;
    };
    keys: RouterKeys;
    protocol: EndpointProtocol;
    /** Creates the sockets of direct connections to endpoints. Default: TCP sockets. */
    createSocket?: CreateSocket;
    /** Parses the text of a configuration. */
    decodeConfiguration(text: string): Result<RoutingConfiguration, string>;
    /** Parses the record that an endpoint wrote under a key. */
    decodeEndpoint(key: string, text: string): Result<RegisteredEndpoint, string>;
}
