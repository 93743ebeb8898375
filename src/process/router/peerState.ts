import type { MessageInitShape } from "@bufbuild/protobuf";
import type { EndpointHealth } from "../../request/relay/endpoints/endpointHealth.ts";
import type { EndpointLoads } from "../../request/relay/endpoints/endpointLoads.ts";
import type { EndpointLimits } from "../../request/relay/limits/endpointLimits.ts";
import type { RequestQuarantine } from "../../request/relay/quarantine/requestQuarantine.ts";
import type { NodeState, NodeStateSchema } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { EndpointReadings } from "./endpointReadings.ts";
import type { PeerStatePart } from "./peerStatePart.ts";

/** The records that a node sends to its peers in each exchange. */
type PeerRecords = Exclude<MessageInitShape<typeof NodeStateSchema>, NodeState>;

/** Options of {@link PeerState}. */
interface PeerStateOptions {
    loads: EndpointLoads;
    health: EndpointHealth;
    quarantine: RequestQuarantine;
    limits: EndpointLimits;
    readings: EndpointReadings;
    /** Further parts of the state. */
    parts: readonly PeerStatePart[];
    /** Gets the demand of new requests at this node, in tokens per second. */
    getDemand(): number;
    /** Called when a peer has sent something that should be passed on immediately. */
    onUpdate(): void;
}

/** Converts the state of the endpoints, as this node knows it, to and from peer messages. */
export class PeerState {
    private readonly options: PeerStateOptions;

    private constructor(options: PeerStateOptions) {
        this.options = options;
    }

    /** Creates the converter. */
    static create(options: PeerStateOptions): PeerState {
        return new PeerState(options);
    }

    /** Creates the records of an outgoing message. */
    createRecords(now: number): PeerRecords {
        const { loads, health, quarantine, limits, readings, parts, getDemand } = this.options;
        return {
            ...Object.assign({}, ...parts.map(part => part.createRecords(now))),
            demand: getDemand(),
            loads: loads.getOwnLoads().map(({ endpointId, requests, tokenLayers }) => ({
                endpointId,
                requests,
                tokenLayers,
            })),
            suspicions: health.getSuspicions(now).map(({ endpointId, remainingMilliseconds, isRefusing }) => ({
                endpointId,
                remaining: Math.round(remainingMilliseconds),
                isRefusing,
            })),
            readings: readings.getReadings(now),
            endedRuns: quarantine.getCrashes(now).map((
                { fingerprint, endpointId, at, isDown, isCanary, isSudden },
            ) => ({
                fingerprint,
                endpointId,
                age: getAge(at, now),
                isDown,
                isCanary,
                isSudden,
            })),
            safeRequests: quarantine.getRefutations(now),
            answeredParts: quarantine.getAnsweredParts(now).map(({ key, at }) => ({ key, age: getAge(at, now) })),
            endpointLimits: limits.listReports(now).map(({ endpointId, requestsPerSecond, at, demand }) => ({
                endpointId,
                requestsPerSecond,
                age: Math.round(now - at),
                demand,
            })),
        };
    }

    /** Applies the records of a peer's message. */
    applyRecords(message: NodeState, now: number): void {
        const { loads, health, quarantine, limits, readings, parts, onUpdate } = this.options;
        for (const part of parts) {
            part.applyRecords(message, now);
        }
        if (message.sender !== undefined) {
            const reports = message.endpointLimits.map(({ endpointId, requestsPerSecond, age, demand }) => ({
                endpointId,
                requestsPerSecond,
                at: now - age,
                demand,
            }));
            limits.applyReports(message.sender.nodeId, reports, now);
            loads.setPeerLoads(message.sender.nodeId, message.loads, message.demand, now);
        }
        let hasNewSuspicion = false;
        for (const { endpointId, remaining, isRefusing } of message.suspicions) {
            hasNewSuspicion = health.applySuspicion({ endpointId, remainingMilliseconds: remaining, isRefusing }, now)
                || hasNewSuspicion;
        }
        if (hasNewSuspicion) {
            onUpdate();
        }
        for (const { fingerprint, endpointId, age, isDown, isCanary, isSudden } of message.endedRuns) {
            quarantine.addPeerCrash({ fingerprint, endpointId, at: now - age, isDown, isCanary, isSudden }, now);
        }
        for (const fingerprint of message.safeRequests) {
            quarantine.applyRefutation(fingerprint, now);
        }
        for (const { key, age } of message.answeredParts) {
            quarantine.applyAnsweredPart(key, now - age, now);
        }
        for (const reading of message.readings) {
            readings.add(reading, now);
        }
    }
}

/** Gets the age of a record in whole milliseconds. */
function getAge(at: number, now: number): number {
    return Math.max(0, Math.round(now - at));
}
