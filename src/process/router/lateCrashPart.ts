import { create } from "@bufbuild/protobuf";
import type { LateCrashes } from "../../request/relay/quarantine/lateCrashes.ts";
import {
    AnsweredPartRecordSchema,
    EndedRunRecordSchema,
    type NodeState,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { PeerStatePart } from "./peerStatePart.ts";

/** Exchanges the crashes of endpoints that had run a request for a while with the peers. */
export class LateCrashPart implements PeerStatePart {
    private readonly crashes: LateCrashes;

    private constructor(crashes: LateCrashes) {
        this.crashes = crashes;
    }

    /** Creates the part. */
    static create(crashes: LateCrashes): LateCrashPart {
        return new LateCrashPart(crashes);
    }

    /** Creates the records of recent crashes, and of complete answers that clear requests of them. */
    createRecords(now: number): Pick<NodeState, "lateEndedRuns" | "completedRequests"> {
        return {
            lateEndedRuns: this.crashes.listCrashes(now).map(({ fingerprint, endpointId, at }) =>
                create(EndedRunRecordSchema, { fingerprint, endpointId, age: Math.round(now - at) })
            ),
            completedRequests: this.crashes.listCompletions(now).map(({ key, at }) =>
                create(AnsweredPartRecordSchema, { key, age: Math.round(now - at) })
            ),
        };
    }

    /** Applies a peer's records. */
    applyRecords({ lateEndedRuns, completedRequests }: NodeState, now: number): void {
        for (const { fingerprint, endpointId, age } of lateEndedRuns) {
            this.crashes.addOfPeer({ fingerprint, endpointId, at: now - age }, now);
        }
        for (const { key, age } of completedRequests) {
            this.crashes.noteCompletionAtPeer(key, now - age);
        }
    }
}
