import { create } from "@bufbuild/protobuf";
import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import type { ClaimDecision } from "../request/claimDecision.ts";
import type { ClaimEnd, ClaimGate } from "../request/claimGate.ts";
import { GetKeptAnswerRequestSchema } from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { ClaimRouter } from "./claimRouter.ts";
import { checkClaimKey } from "./claims/checkClaimKey.ts";
import { ClaimOutcome } from "./claims/claimOutcome.ts";
import type { ClaimVerdict } from "./claims/claimVerdict.ts";
import type { Clock } from "./clock.ts";
import type { KeptAnswers, KeptState } from "./keptAnswers.ts";
import type { MembershipView } from "./membership/membershipView.ts";

/** Options of a {@link NodeClaimGate}. */
interface NodeClaimGateOptions {
    nodeId: string;
    router: ClaimRouter;
    kept: KeptAnswers;
    peers: PeerConnections;
    view: MembershipView;
    clock: Clock;
    windowMilliseconds: number;
}

const unusedKeyMessage = "The claim could not be recorded, so the request did not run. Send it again with a new key.";

/**
 * The claims of one node: asks the owner of the key's shard, and where the key is taken, the node that took it for its
 * kept answer. A grant that was not used, since no endpoint was there to run the request, passes on to a repeat.
 */
export class NodeClaimGate implements ClaimGate {
    private readonly options: NodeClaimGateOptions;
    /** Claimant of each key that is claimed or running here. */
    private readonly claimants = new Map<string, string>();

    private constructor(options: NodeClaimGateOptions) {
        this.options = options;
    }

    /** Creates the gate of a node. */
    static create(options: NodeClaimGateOptions): NodeClaimGate {
        return new NodeClaimGate(options);
    }

    async claim(key: string, bodyHash: string, claimant: string): Promise<ClaimDecision> {
        const { clock, windowMilliseconds, router, nodeId } = this.options;
        const checked = checkClaimKey(key, clock.getWallTime(), windowMilliseconds);
        if (!checked.ok) {
            return { kind: "badKey", message: checked.val.message };
        }
        if (this.claimants.has(key)) {
            return { kind: "running" };
        }
        this.claimants.set(key, claimant);
        const verdict = await router.claim({ key, bodyHash, claimant, nodeId });
        const decision = await this.decide(key, claimant, bodyHash, verdict);
        if (decision.kind !== "granted") {
            this.claimants.delete(key);
        }
        return decision;
    }

    settle(key: string, end: ClaimEnd): void {
        const claimant = this.claimants.get(key) ?? "";
        this.claimants.delete(key);
        this.options.kept.setEnded(key, toKeptState(end, claimant));
    }

    /**
     * Answers a peer that asks for a claimed request of this node.
     * @param key - The key.
     * @param claimant - First claimant of the key, as the owner of the shard told.
     */
    handOver(key: string, claimant: string): ClaimDecision {
        const state = this.options.kept.getState(key);
        if (state === undefined || state.claimant !== claimant) {
            return { kind: this.claimants.get(key) === claimant ? "running" : "unknown" };
        }
        return this.decideByState(key, state);
    }

    private async decide(
        key: string,
        claimant: string,
        bodyHash: string,
        verdict: ClaimVerdict,
    ): Promise<ClaimDecision> {
        const { kept, nodeId } = this.options;
        switch (verdict.outcome) {
            case ClaimOutcome.Granted:
                kept.setRunning(key, claimant);
                return { kind: "granted" };
            case ClaimOutcome.BodyMismatch:
                return { kind: "bodyMismatch" };
            case ClaimOutcome.TooOld:
                return { kind: "badKey", message: verdict.message ?? "The idempotency key is too old. Use a new one." };
            case ClaimOutcome.Taken: {
                const first = { claimant: verdict.claimant ?? "", nodeId: verdict.nodeId ?? "" };
                const decision = first.nodeId === nodeId
                    ? this.handOver(key, first.claimant)
                    : await this.askFirstNode(key, bodyHash, first);
                if (decision.kind === "granted") {
                    this.claimants.set(key, claimant);
                    kept.setRunning(key, claimant);
                }
                return decision;
            }
            default:
                kept.setEnded(key, { kind: "notRun", claimant });
                return { kind: "unavailable", message: unusedKeyMessage };
        }
    }

    private decideByState(key: string, state: KeptState): ClaimDecision {
        switch (state.kind) {
            case "running":
                return { kind: "running" };
            case "finished":
                return { kind: "answered", answer: state.answer };
            case "released":
                return this.options.kept.takeReleased(key) === undefined ? { kind: "unknown" } : { kind: "granted" };
            case "notRun":
                return { kind: "unavailable", message: unusedKeyMessage };
            case "unknown":
                return { kind: "unknown" };
        }
    }

    private async askFirstNode(
        key: string,
        bodyHash: string,
        first: { claimant: string; nodeId: string; },
    ): Promise<ClaimDecision> {
        const address = this.options.view.getMember(first.nodeId)?.peerAddress;
        if (address === undefined) {
            return { kind: "unknown" };
        }
        const request = create(GetKeptAnswerRequestSchema, { key, bodyHash, claimant: first.claimant });
        const response = await this.options.peers.getKeptAnswer(address, request);
        if (!response.ok) {
            return { kind: "unknown" };
        }
        const { state, status, contentType, body } = response.val;
        switch (state) {
            case "finished":
                return { kind: "answered", answer: { status, contentType, body: Buffer.from(body) } };
            case "running":
                return { kind: "running" };
            case "transferred":
                return { kind: "granted" };
            case "not_run":
                return { kind: "unavailable", message: unusedKeyMessage };
            default:
                return { kind: "unknown" };
        }
    }
}

function toKeptState(end: ClaimEnd, claimant: string): Exclude<KeptState, { kind: "running"; }> {
    switch (end.kind) {
        case "finished":
            return { kind: "finished", claimant, answer: end.answer };
        case "notRun":
            return { kind: "released", claimant };
        case "unknown":
            return { kind: "unknown", claimant };
    }
}
