import type { MessageInitShape } from "@bufbuild/protobuf";
import type { NodeState, NodeStateSchema } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { LeaseRelease } from "../leases/leaseRelease.ts";
import type { ChangeFetcher } from "./changeFetcher.ts";
import { NodeRecords } from "./nodeRecords.ts";
import type { PeerExchangeOptions } from "./peerExchangeOptions.ts";

/** Options of {@link PeerMessages}. */
interface PeerMessagesOptions extends PeerExchangeOptions {
    /** Knows the frontiers of this node's sections, and learns those of peers. */
    fetching: Pick<ChangeFetcher, "getFrontiers" | "handlePeerFrontiers" | "isCaughtUpWith">;
}

/** What a node sends of itself. */
type OwnState = Exclude<MessageInitShape<typeof NodeStateSchema>, NodeState>;

/** Largest age that the message can hold (uint32); also stands for an unknown age. */
const maximumAgeMilliseconds = 0xffff_ffff;

/** Builds the messages in which a node tells peers of its state, and applies those of peers to the node's parts. */
export class PeerMessages {
    private readonly options: PeerMessagesOptions;
    private readonly nodeRecords: NodeRecords;

    private constructor(options: PeerMessagesOptions) {
        this.options = options;
        this.nodeRecords = NodeRecords.create(options);
    }

    /** Creates the messages of a node. */
    static create(options: PeerMessagesOptions): PeerMessages {
        return new PeerMessages(options);
    }

    /**
     * Builds the state of this node.
     * @param knownToPeer - Number of nodes that the receiver knows. Default: unknown.
     */
    build(knownToPeer = Infinity): OwnState {
        const { state, nodes, fetching, storeWatch, lease } = this.options;
        const live = nodes.getLiveNodes(this.getTime());
        return {
            ...state.createRecords(this.getTime()),
            sender: this.nodeRecords.createOwn(),
            nodes: this.nodeRecords.createOthers(live, knownToPeer),
            knownNodes: live.length + 1,
            frontiers: fetching.getFrontiers(),
            storeFailureAge: this.getAge(storeWatch.getLastFailure()),
            freshAge: this.getFreshAge(),
            leaseRelease: encodeRelease(lease.getNewestRelease()),
        };
    }

    /** Gets the time in milliseconds since this node's copy of the store was last proven to be current. */
    getFreshAge(): number {
        return this.getAge(this.options.proof.getTime());
    }

    /** Applies a peer's state. */
    apply(state: NodeState): void {
        const { storeWatch, lease, fetching } = this.options;
        const { sender, frontiers, storeFailureAge, leaseRelease } = state;
        this.nodeRecords.apply(state);
        for (const { section, revision } of frontiers) {
            storeWatch.handlePeerFrontier(section, Number(revision));
        }
        if (sender !== undefined) {
            fetching.handlePeerFrontiers({ address: sender.address, dataCentre: sender.dataCentre, frontiers });
        }
        this.options.state.applyRecords(state, this.getTime());
        if (storeFailureAge < maximumAgeMilliseconds) {
            storeWatch.recordPeerFailure(this.getTime() - storeFailureAge);
        }
        if (leaseRelease !== undefined) {
            const { revision, fencingNumber } = leaseRelease;
            lease.noteRelease({ revision: Number(revision), fencingNumber: Number(fencingNumber) });
        }
    }

    /**
     * Applies the state in a peer's response, which may prove that this node's copy of the store is current.
     * @param state - The peer's state.
     * @param sentAt - Monotonic time in milliseconds at which the request was sent.
     */
    applyResponse(state: NodeState, sentAt: number): void {
        const { fetching, proof } = this.options;
        this.apply(state);
        if (state.freshAge < maximumAgeMilliseconds && fetching.isCaughtUpWith(state.frontiers)) {
            proof.recordPeerTime(sentAt - state.freshAge);
        }
    }

    private getAge(at: number): number {
        return Math.max(0, Math.min(maximumAgeMilliseconds, Math.round(this.getTime() - at)));
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}

function encodeRelease(release: LeaseRelease | undefined): OwnState["leaseRelease"] {
    return release && { revision: BigInt(release.revision), fencingNumber: BigInt(release.fencingNumber) };
}
