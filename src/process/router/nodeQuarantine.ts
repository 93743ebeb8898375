import { RequestQuarantine } from "../../request/relay/quarantine/requestQuarantine.ts";
import type { LiveNodes } from "./liveNodes.ts";
import { QuarantinePersister } from "./quarantinePersister.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";

/** Options of a {@link NodeQuarantine}. */
interface NodeQuarantineOptions {
    node: Pick<RouterNodeOptions, "clock" | "log" | "metrics" | "store" | "keys">;
    liveNodes: Pick<LiveNodes, "getCanaryOrder">;
    /** Gets the monotonic time in milliseconds at which an endpoint was last seen alive; -Infinity if never. */
    getAliveTime(endpointId: string): number;
    /** Informs the peers at once. */
    propagateUpdate(): void;
}

/** The quarantine of a node: shared with the peers, counted in the metrics and saved to the store. */
export class NodeQuarantine {
    readonly requests: RequestQuarantine;
    readonly persister: QuarantinePersister;

    private constructor({ node, liveNodes, getAliveTime, propagateUpdate }: NodeQuarantineOptions) {
        const { clock, log, metrics, store, keys } = node;
        this.requests = RequestQuarantine.create({
            log,
            getAliveTime,
            getCanaryOrder: key => liveNodes.getCanaryOrder(key),
            onCleared: propagateUpdate,
            onCrash: isHeldBack => {
                metrics.endpointEndsTotal.inc({ outcome: isHeldBack ? "heldBack" : "suspected" });
                // The caller may send the request again to any other node a moment later.
                propagateUpdate();
                if (isHeldBack) {
                    this.persister.save();
                }
            },
        });
        this.persister = QuarantinePersister.create({
            store,
            key: keys.quarantine,
            quarantine: this.requests,
            clock,
            log,
        });
    }

    /** Creates an empty quarantine. */
    static create(options: NodeQuarantineOptions): NodeQuarantine {
        return new NodeQuarantine(options);
    }
}
