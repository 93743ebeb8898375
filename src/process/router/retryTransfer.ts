import type { RetryBudget } from "../../request/admission/retryBudget.ts";
import type { StreamRetries } from "../../request/admission/streamRetries.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";

/** Options of a {@link RetryTransfer}. */
interface RetryTransferOptions {
    budget: RetryBudget;
    streams: Pick<StreamRetries, "getNeed" | "getKept">;
    log: EventLog;
}

/** What a node asks of its peers at once. */
interface RetryAsk {
    /** Number of peers to ask. */
    peers: number;
    /** Retries to ask of each of them. */
    wanted: number;
}

/** Most peers that are asked at once, so that one that doesn't answer or has none to spare holds nothing up. */
const maximumPeers = 3;
/** Most retries that move at once between two nodes. */
const maximumRetries = 4;
/** Time until peers are asked again. It doubles with each ask that brings nothing, up to the maximum. */
const initialAskMilliseconds = 100;
const maximumAskMilliseconds = 800;

/**
 * Decides how retries move to a node whose begun streams wait for one. A peer takes them from its own balance before it grants them, and the
 * grant is in its answer to the call that asked. So the sum over all nodes never grows: a grant that is lost is lost for both nodes.
 * Times are monotonic, in milliseconds.
 */
export class RetryTransfer {
    private readonly options: RetryTransferOptions;
    private askedAt = -Infinity;
    private fruitlessAsks = 0;

    private constructor(options: RetryTransferOptions) {
        this.options = options;
    }

    /** Creates the transfer of a node that has asked for nothing. */
    static create(options: RetryTransferOptions): RetryTransfer {
        return new RetryTransfer(options);
    }

    /**
     * Decides what to ask of peers now.
     * @param getPeerCount - Gets the number of peers that can be asked. Called only if there is something to ask.
     * @returns What to ask; undefined if no stream needs a retry, or peers were asked just before, or there are none.
     */
    ask(now: number, getPeerCount: () => number): RetryAsk | undefined {
        // With many streams that wait, the pause is the usual reason, and the cheapest one to check.
        if (now - this.askedAt < this.getPause()) {
            return undefined;
        }
        const { budget, streams, log } = this.options;
        const need = streams.getNeed(now);
        const peerCount = need === 0 ? 0 : getPeerCount();
        if (peerCount === 0) {
            return undefined;
        }
        const balance = budget.getBalance(now);
        // What doesn't fit into the budget would be lost.
        const room = Math.max(1, Math.floor(budget.getMaximumBalance() - balance));
        const peers = Math.min(maximumPeers, room, peerCount);
        const wanted = Math.min(maximumRetries, Math.ceil(Math.min(need, room) / peers));
        this.fruitlessAsks = now - this.askedAt >= 2 * maximumAskMilliseconds ? 1 : this.fruitlessAsks + 1;
        this.askedAt = now;
        log.write(events.retriesAsked, { need, peers, wanted, balance: formatBalance(balance) });
        return { peers, wanted };
    }

    /**
     * Takes retries from this node's budget for a peer. Returns their number.
     * @param peer - Id of the peer.
     * @param wanted - Number of retries that it asks for; 0 if none.
     */
    grant(peer: string, wanted: number, now: number): number {
        if (wanted === 0) {
            return 0;
        }
        const { budget, streams, log } = this.options;
        const kept = streams.getKept(now);
        const granted = budget.giveAway(Math.min(wanted, maximumRetries), kept, now);
        log.write(events.retriesGranted, {
            peer,
            wanted,
            granted,
            kept: formatBalance(kept),
            balance: formatBalance(budget.getBalance(now)),
        });
        return granted;
    }

    /**
     * Adds the retries that a peer has granted in its answer to a call.
     * @param address - Address of the peer.
     * @param wanted - Retries that this call asked for. More are not accepted, and none if it asked for none.
     */
    accept({ address, wanted, granted }: { address: string; wanted: number; granted: number; }, now: number): void {
        const accepted = Math.min(wanted, granted);
        if (accepted === 0) {
            return;
        }
        const { budget, log } = this.options;
        this.fruitlessAsks = 0;
        budget.receive(accepted, now);
        log.write(events.retriesReceived, {
            address,
            wanted,
            accepted,
            balance: formatBalance(budget.getBalance(now)),
            milliseconds: Math.round(now - this.askedAt),
        });
    }

    private getPause(): number {
        return Math.min(
            maximumAskMilliseconds,
            initialAskMilliseconds * 2 ** Math.max(0, this.fruitlessAsks - 1),
        );
    }
}

function formatBalance(balance: number): number {
    return Number(balance.toFixed(1));
}
