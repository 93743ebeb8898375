import { create } from "@bufbuild/protobuf";
import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import type { ClaimDecision } from "../request/claimDecision.ts";
import type { ClaimEnd, ClaimGate } from "../request/claimGate.ts";
import { GetKeptAnswerRequestSchema, type GetKeptAnswerResponse } from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { ClaimRouter } from "./claimRouter.ts";
import { checkClaimKey } from "./claims/checkClaimKey.ts";
import { ClaimOutcome } from "./claims/claimOutcome.ts";
import type { ClaimVerdict } from "./claims/claimVerdict.ts";
import type { Clock } from "./clock.ts";
import type { KeptAnswerHandOff } from "./keptAnswerHandOff.ts";
import type { KeptAnswers } from "./keptAnswers.ts";
import type { KeptState } from "./keptState.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { TraceContext } from "./tracing/traceContext.ts";
import type { Tracing } from "./tracing/tracing.ts";

/** Options of a {@link NodeClaimGate}. */
interface NodeClaimGateOptions {
    nodeId: string;
    router: ClaimRouter;
    kept: KeptAnswers;
    handOff: KeptAnswerHandOff;
    peers: PeerConnections;
    view: MembershipView;
    clock: Clock;
    tracing: Tracing;
    windowMilliseconds: number;
}

/** A claim on its way; its claimant changes where it goes on under a name that another request left. */
interface ClaimRun {
    key: string;
    bodyHash: string;
    claimant: string;
    /** Whether the claimant has been granted the key. */
    isGranted: boolean;
    /** Span that the calls to peers belong to. */
    parent: TraceContext;
}

/** What a step of a claim came to: a decision, or to claim under the run's claimant. */
type ClaimStep = ClaimDecision | { kind: "claim"; };

/** Claims under changed claimants, and nodes asked for one claimant, before the claim is given up. */
const maximumSteps = 4;

/**
 * The claims of one node: asks the owner of the key's shard, and where the key is taken, the node that took it for its kept
 * answer. A grant that was not used, since no endpoint was there to run the request, passes on to a repeat. A right to a
 * claimant's name is held by one request on one node at any time, so that no two run under it.
 */
export class NodeClaimGate implements ClaimGate {
    private readonly options: NodeClaimGateOptions;
    /** Claims on their way and granted ones that run. */
    private readonly runs = new Map<string, ClaimRun>();

    private constructor(options: NodeClaimGateOptions) {
        this.options = options;
    }

    /** Creates the gate of a node. */
    static create(options: NodeClaimGateOptions): NodeClaimGate {
        return new NodeClaimGate(options);
    }

    async claim(
        key: string,
        bodyHash: string,
        claimant: string,
        parent: TraceContext,
    ): Promise<ClaimDecision> {
        const { clock, windowMilliseconds } = this.options;
        const checked = checkClaimKey(key, clock.getWallTime(), windowMilliseconds);
        if (!checked.ok) {
            return { kind: "badKey", message: checked.val.message };
        }
        const earlier = this.runs.get(key);
        if (earlier !== undefined) {
            return { kind: earlier.bodyHash === bodyHash ? "running" : "bodyMismatch" };
        }
        const run: ClaimRun = { key, bodyHash, claimant, isGranted: false, parent };
        this.runs.set(key, run);
        let decision: ClaimDecision = { kind: "unavailable", isUnclaimed: false };
        try {
            decision = await this.decide(run);
        }
        finally {
            this.endClaim(run, decision);
        }
        return decision;
    }

    /** Notes how a request that was granted its claim has ended; nothing where the key has no claim here. */
    settle(key: string, end: ClaimEnd): void {
        const run = this.runs.get(key);
        if (run === undefined) {
            return;
        }
        this.runs.delete(key);
        const { claimant, bodyHash } = run;
        const common = { claimant, bodyHash };
        switch (end.kind) {
            case "finished":
                this.options.kept.setState(key, { ...common, kind: "finished", answer: end.answer });
                return;
            case "notRun":
                this.options.kept.setState(key, { ...common, kind: "granted" });
                return;
            case "unknown":
                this.options.kept.setState(key, { ...common, kind: "unknown" });
                return;
        }
    }

    /**
     * Answers a peer that asks for a claimed request of this node. What is given to the peer is no longer held here.
     * @param key - The key.
     * @param claimant - First claimant of the key, as the owner of the shard has answered.
     * @param nodeId - The peer.
     */
    handOver(key: string, claimant: string, nodeId: string): KeptState | undefined {
        const state = this.options.kept.getState(key);
        if (state?.claimant !== claimant) {
            const run = this.runs.get(key);
            return run?.claimant === claimant ? { kind: "running", claimant, bodyHash: run.bodyHash } : undefined;
        }
        if (state.kind === "granted" || state.kind === "released") {
            const { bodyHash } = state;
            this.options.kept.setState(key, { kind: "moved", claimant, bodyHash, nodeId });
        }
        return state;
    }

    private async decide(run: ClaimRun): Promise<ClaimDecision> {
        let step = this.takeLocal(run);
        for (let steps = 0; step.kind === "claim" && steps < maximumSteps; steps += 1) {
            step = await this.claimOnce(run);
        }
        return step.kind === "claim" ? { kind: "unavailable", isUnclaimed: false } : step;
    }

    /** Answers from what this node keeps, before the owner is asked; this works also while the store is down. */
    private takeLocal(run: ClaimRun): ClaimStep {
        const { kept } = this.options;
        const state = kept.getState(run.key);
        if (state === undefined || state.kind === "moved") {
            return { kind: "claim" };
        }
        if (state.bodyHash !== run.bodyHash) {
            return { kind: "bodyMismatch" };
        }
        if (state.kind !== "granted" && state.kind !== "released") {
            return toDecision(state);
        }
        kept.removeState(run.key);
        run.claimant = state.claimant;
        run.isGranted = state.kind === "granted";
        return run.isGranted ? { kind: "granted" } : { kind: "claim" };
    }

    private async claimOnce(run: ClaimRun): Promise<ClaimStep> {
        const { router, nodeId } = this.options;
        const { key, bodyHash, claimant } = run;
        const verdict = await router.claim({ key, bodyHash, claimant, nodeId }, run.parent);
        switch (verdict.outcome) {
            case ClaimOutcome.Granted:
                run.isGranted = true;
                return { kind: "granted" };
            case ClaimOutcome.BodyMismatch:
                return { kind: "bodyMismatch" };
            case ClaimOutcome.TooOld:
                return { kind: "badKey", message: verdict.message ?? "The idempotency key is too old. Use a new one." };
            case ClaimOutcome.Taken:
                return await this.followFirst(run, verdict);
            default:
                return { kind: "unavailable", isUnclaimed: verdict.isUnclaimed === true };
        }
    }

    /** Asks the node of the first claimant what has become of it, and the nodes that it may have passed it to. */
    private async followFirst(run: ClaimRun, verdict: ClaimVerdict): Promise<ClaimStep> {
        const first = verdict.claimant ?? "";
        let nodeId = verdict.nodeId ?? "";
        for (let steps = 0; steps < maximumSteps; steps += 1) {
            const response = nodeId === this.options.nodeId ? undefined : await this.askNode(nodeId, run, first);
            if (response?.state !== "moved") {
                const step = this.takeFromPeer(run, first, response);
                return step.kind === "unknown" ? await this.askHolders(run, first) : step;
            }
            nodeId = response.nodeId;
        }
        return { kind: "unknown" };
    }

    /** Asks the nodes that a node which has stopped may have passed its kept answer to. */
    private async askHolders(run: ClaimRun, first: string): Promise<ClaimStep> {
        for (const nodeId of this.options.handOff.getHolders(run.key)) {
            const response = await this.askNode(nodeId, run, first);
            if (response?.state === "finished") {
                return this.takeFromPeer(run, first, response);
            }
        }
        return { kind: "unknown" };
    }

    private async askNode(nodeId: string, run: ClaimRun, claimant: string): Promise<GetKeptAnswerResponse | undefined> {
        const address = this.options.view.getMember(nodeId)?.peerAddress;
        if (address === undefined) {
            return undefined;
        }
        const { key, bodyHash } = run;
        const fromNodeId = this.options.nodeId;
        const request = create(GetKeptAnswerRequestSchema, { key, bodyHash, claimant, fromNodeId });
        const attributes = { peer: nodeId, call: "getKeptAnswer" };
        const span = this.options.tracing.startSpan("peer call", { parent: run.parent, attributes });
        const response = await this.options.peers.getKeptAnswer(address, request);
        span.end();
        return response.ok ? response.val : undefined;
    }

    private takeFromPeer(run: ClaimRun, first: string, response: GetKeptAnswerResponse | undefined): ClaimStep {
        switch (response?.state) {
            case "finished": {
                const { status, contentType, body } = response;
                return { kind: "answered", answer: { status, contentType, body: Buffer.from(body) } };
            }
            case "running":
                return { kind: "running" };
            case "transferred":
                run.claimant = first;
                run.isGranted = true;
                return { kind: "granted" };
            case "released":
                run.claimant = first;
                return { kind: "claim" };
            default:
                return { kind: "unknown" };
        }
    }

    /** Keeps what a claim that does not run leaves behind: the right to its claimant's name. */
    private endClaim(run: ClaimRun, decision: ClaimDecision): void {
        const { key, claimant, bodyHash } = run;
        const { kept } = this.options;
        if (decision.kind === "granted") {
            kept.setState(key, { kind: "running", claimant, bodyHash });
            return;
        }
        this.runs.delete(key);
        if (decision.kind === "unavailable") {
            kept.setState(key, { kind: "released", claimant, bodyHash });
        }
    }
}

function toDecision(state: Exclude<KeptState, { kind: "granted" | "released" | "moved"; }>): ClaimDecision {
    switch (state.kind) {
        case "running":
            return { kind: "running" };
        case "finished":
            return { kind: "answered", answer: state.answer };
        case "unknown":
            return { kind: "unknown" };
    }
}
