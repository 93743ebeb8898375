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

/**
 * A claim in progress or granted. Its claimant changes when it continues with the id of an earlier request that did not
 * run.
 */
interface ClaimRun {
    key: string;
    bodyHash: string;
    claimant: string;
    /** Whether the claimant has been granted the key. */
    isGranted: boolean;
    /** Parent span of the calls to peers. */
    parent: TraceContext;
}

/** Result of one step of a claim: a decision, or that the key is to be claimed as the claimant of the run. */
type ClaimStep = ClaimDecision | { kind: "claim"; };

/** Maximum number of attempts at one claim, and of nodes that one attempt asks about a moved claimant. */
const maximumSteps = 4;

/**
 * Decides the claims of one node. It asks the owner of the key's shard and, if the key is taken, the node of the first
 * claimant for its kept answer. A grant that was not used, because no endpoint was available to run the request, is
 * transferred to a retry. At any time at most one request on one node has the right to use a claimant id, so that no two
 * requests run as the same claimant.
 */
export class NodeClaimGate implements ClaimGate {
    private readonly options: NodeClaimGateOptions;
    /** Claims in progress and granted claims whose request is running, by key. */
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
            this.finishClaim(run, decision);
        }
        return decision;
    }

    /** Records how a request with a granted claim ended. Does nothing if the key has no claim on this node. */
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
     * Gets the state of a claimed request of this node for a peer. An unused grant or claimant id moves to the peer and
     * can no longer be used on this node.
     * @param claimant - First claimant of the key, as the owner of the shard reported it.
     * @param nodeId - Id of the peer.
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
        let step = this.decideLocally(run);
        for (let steps = 0; step.kind === "claim" && steps < maximumSteps; steps += 1) {
            step = await this.claimOnce(run);
        }
        return step.kind === "claim" ? { kind: "unavailable", isUnclaimed: false } : step;
    }

    /** Decides from the state on this node, without asking the owner. This also works while the store is down. */
    private decideLocally(run: ClaimRun): ClaimStep {
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
                return await this.askFirstClaimant(run, verdict);
            default:
                return { kind: "unavailable", isUnclaimed: verdict.isUnclaimed === true };
        }
    }

    /** Asks the node of the first claimant for the state of the request, and follows moves to other nodes. */
    private async askFirstClaimant(run: ClaimRun, verdict: ClaimVerdict): Promise<ClaimStep> {
        const firstClaimant = verdict.claimant ?? "";
        let nodeId = verdict.nodeId ?? "";
        for (let steps = 0; steps < maximumSteps; steps += 1) {
            const response = nodeId === this.options.nodeId
                ? undefined
                : await this.askNode(nodeId, run, firstClaimant);
            if (response?.state !== "moved") {
                const step = this.applyPeerResponse(run, firstClaimant, response);
                return step.kind === "unknown" ? await this.askHolders(run, firstClaimant) : step;
            }
            nodeId = response.nodeId;
        }
        return { kind: "unknown" };
    }

    /** Asks the nodes to which a stopped node may have transferred the kept answer. */
    private async askHolders(run: ClaimRun, firstClaimant: string): Promise<ClaimStep> {
        for (const nodeId of this.options.handOff.getHolders(run.key)) {
            const response = await this.askNode(nodeId, run, firstClaimant);
            if (response?.state === "finished") {
                return this.applyPeerResponse(run, firstClaimant, response);
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

    private applyPeerResponse(
        run: ClaimRun,
        firstClaimant: string,
        response: GetKeptAnswerResponse | undefined,
    ): ClaimStep {
        switch (response?.state) {
            case "finished": {
                const { status, contentType, body } = response;
                return { kind: "answered", answer: { status, contentType, body: Buffer.from(body) } };
            }
            case "running":
                return { kind: "running" };
            case "transferred":
                run.claimant = firstClaimant;
                run.isGranted = true;
                return { kind: "granted" };
            case "released":
                run.claimant = firstClaimant;
                return { kind: "claim" };
            default:
                return { kind: "unknown" };
        }
    }

    /** Records the end of a claim. One that could not be made leaves its claimant id to a retry. */
    private finishClaim(run: ClaimRun, decision: ClaimDecision): void {
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
