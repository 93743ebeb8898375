import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
    type FetchRequest,
    type FetchResponse,
    FetchResponseSchema,
    type SectionChanges,
    type SectionFrontier,
    type StoreRecord as StoreRecordMessage,
    type StoreRecordSchema,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { RecordRevision } from "../replica/recordRevision.ts";
import type { RecordSection } from "../replica/recordSection.ts";
import type { StoreRecord } from "../replica/storeRecord.ts";
import { CompressedTexts } from "./compressedTexts.ts";
import type { RouterPeers } from "./routerPeers.ts";
import { shouldFetch } from "./shouldFetch.ts";

/** Options of {@link ChangeFetcher}. */
interface ChangeFetcherOptions {
    sections: readonly RecordSection[];
    dataCentre: string;
    peers: Pick<RouterPeers, "call">;
    clock: Clock;
    log: EventLog;
    /** Whether other nodes get updates from this node. Any other waits for one of its data centre, so that few copies cross data centres. */
    isDistributor(): boolean;
    /** Called with the monotonic time at which this node's copy is known to have been current. */
    onFresh(freshAt: number): void;
    /** Called after applying changes that other nodes may lack. */
    onUpdate(): void;
}

/** A peer that may have newer changes. */
interface ChangeSourcePeer {
    address: string;
    dataCentre: string;
    frontiers: readonly SectionFrontier[];
}

/**
 * A full section may hold a megabyte, which a node with a third of a processor and 20 Mbit/s needs a second to send and read.
 * For that reason it is not part of the exchange: it would exceed the timeout there, and each called peer would send it again.
 */
const fetchTimeoutMilliseconds = 3_000;
/** A peer that has not answered for this long may never do so. Another one is asked then; its answer makes the first one needless. */
const unansweredMilliseconds = 1_000;
/** Largest age that the message can hold (uint32); also stands for an unknown age. */
const maximumAgeMilliseconds = 0xffff_ffff;

/** Where changes were fetched from, and what it took. */
interface FetchedFrom {
    address: string;
    /** Time from when a peer was first known to be ahead to the start of the fetch, in milliseconds. */
    behindMilliseconds: number;
    /** Duration of the fetch, in milliseconds. */
    fetchMilliseconds: number;
}

/** A call in flight. */
interface Fetch {
    address: string;
    sentAt: number;
}

/**
 * Fetches changes of the store from peers that are ahead, with one call per section at a time, or one more if a peer does not answer.
 */
export class ChangeFetcher {
    private readonly options: ChangeFetcherOptions;
    private readonly compressedTexts = CompressedTexts.create();
    /** The latest call in flight by section. */
    private readonly fetches = new Map<string, Fetch>();
    /** Monotonic time in milliseconds since which each section is known to be behind. */
    private readonly behindSince = new Map<string, number>();

    private constructor(options: ChangeFetcherOptions) {
        this.options = options;
    }

    /** Creates a fetcher, which is idle until a peer reports its frontiers. */
    static create(options: ChangeFetcherOptions): ChangeFetcher {
        return new ChangeFetcher(options);
    }

    /** Compares the frontiers that a peer reports with those of this node, and fetches missing changes. */
    handlePeerFrontiers(peer: ChangeSourcePeer): void {
        const { sections, dataCentre, clock, isDistributor } = this.options;
        const now = clock.getMonotonicTime();
        for (const { section: name, revision } of peer.frontiers) {
            const section = sections.find(candidate => candidate.name === name);
            if (section === undefined || Number(revision) <= section.getFrontier()) {
                continue;
            }
            const behindSince = this.behindSince.get(name) ?? now;
            this.behindSince.set(name, behindSince);
            const isFetchDue = shouldFetch({
                isFetching: this.isFetching(name, peer.address, now),
                isEmpty: section.getFrontier() === 0,
                isNear: peer.dataCentre === dataCentre,
                isDistributor: isDistributor(),
                behindMilliseconds: now - behindSince,
            });
            if (isFetchDue) {
                void this.fetch(section, peer);
            }
        }
    }

    /** Creates the response to a peer's fetch request. */
    createResponse({ frontier, acceptsCompressed }: FetchRequest, freshAge: number): FetchResponse {
        const { sections } = this.options;
        const section = sections.find(({ name }) => name === frontier?.section);
        const proof = { freshAge, frontiers: this.getFrontiers() };
        const missing = section?.getChangesSince(Number(frontier?.revision ?? 0));
        if (section === undefined || missing === undefined) {
            return create(FetchResponseSchema, proof);
        }
        const changed = missing.records.map(record => this.encodeRecord(record, acceptsCompressed));
        // A node of an earlier release ignores an unchanged record, because it ignores any that it knows in the same revision.
        const unchanged = missing.unchanged.map(({ key, revision }) => ({
            key,
            revision: BigInt(revision),
            isUnchanged: true,
        }));
        const records = [...changed, ...unchanged];
        const { frontier: ownFrontier, isWhole } = missing;
        const changes = { section: section.name, frontier: BigInt(ownFrontier), isWhole, records };
        return create(FetchResponseSchema, { ...proof, changes });
    }

    /** Gets how far this node has followed each section. */
    getFrontiers(): Pick<SectionFrontier, "section" | "revision">[] {
        return this.options.sections.map(section => ({
            section: section.name,
            revision: BigInt(section.getFrontier()),
        }));
    }

    private encodeRecord(record: StoreRecord, isCompressed: boolean): MessageInitShape<typeof StoreRecordSchema> {
        const { key, revision, text } = record;
        const compressedText = isCompressed ? this.compressedTexts.compress(record) : undefined;
        const encoded = { key, revision: BigInt(revision), isDeleted: text === undefined };
        return compressedText === undefined ? { ...encoded, text: text ?? "" } : { ...encoded, compressedText };
    }

    /** Checks if this node's copies have all changes that a peer's have. */
    isCaughtUpWith(frontiers: readonly SectionFrontier[]): boolean {
        return frontiers.every(({ section: name, revision }) => {
            const section = this.options.sections.find(candidate => candidate.name === name);
            return section === undefined || section.getFrontier() >= Number(revision);
        });
    }

    private isFetching(section: string, address: string, now: number): boolean {
        const fetch = this.fetches.get(section);
        return fetch !== undefined && (fetch.address === address || now - fetch.sentAt < unansweredMilliseconds);
    }

    private async fetch(section: RecordSection, peer: ChangeSourcePeer): Promise<void> {
        const { peers, clock } = this.options;
        const sentAt = clock.getMonotonicTime();
        const fetch = { address: peer.address, sentAt };
        this.fetches.set(section.name, fetch);
        const request = (revision: number) => {
            const frontier = { section: section.name, revision: BigInt(revision) };
            return peers.call(
                peer.address,
                client => client.fetch({ frontier, acceptsCompressed: true }, { timeoutMs: fetchTimeoutMilliseconds }),
            );
        };
        let response = await request(section.getFrontier());
        // The peer left out a text that this node lacks despite its frontier. At frontier 0, it sends all texts.
        if (response !== undefined && !hasUnchanged(section, response.changes)) {
            response = await request(0);
        }
        if (this.fetches.get(section.name) === fetch) {
            this.fetches.delete(section.name);
        }
        if (response === undefined) {
            return;
        }
        const fetchMilliseconds = Math.round(clock.getMonotonicTime() - sentAt);
        const behindMilliseconds = Math.round(sentAt - (this.behindSince.get(section.name) ?? sentAt));
        ProcessorAccount.ofProcess.runPart(
            ProcessorCause.PeerApply,
            () => this.applyFetched(section, response.changes, { ...peer, fetchMilliseconds, behindMilliseconds }),
        );
        this.behindSince.delete(section.name);
        // The peer's proof may cover changes of other sections that it has got since it told of its frontiers. A node of an earlier release
        // does not say how far its proof reaches.
        const isProof = response.freshAge < maximumAgeMilliseconds && response.frontiers.length > 0;
        if (isProof && this.isCaughtUpWith(response.frontiers)) {
            this.options.onFresh(sentAt - response.freshAge);
        }
    }

    private applyFetched(section: RecordSection, changes: SectionChanges | undefined, fetched: FetchedFrom): void {
        const { log, onUpdate } = this.options;
        const { address, fetchMilliseconds, behindMilliseconds } = fetched;
        const previousFrontier = section.getFrontier();
        const records = changes === undefined ? [] : getChanged(changes);
        const frontier = Number(changes?.frontier ?? 0);
        if (records === undefined) {
            log.write(events.routerChangesInvalid, { section: section.name, address, frontier });
            return;
        }
        if (changes?.isWhole === true) {
            section.applyListing(records, frontier, "peer", getUnchanged(changes));
        }
        else {
            section.applyChanges(records, frontier, "peer");
        }
        if (section.getFrontier() > previousFrontier) {
            const fields = {
                section: section.name,
                address,
                records: records.length,
                frontier,
                behindMilliseconds,
                fetchMilliseconds,
            };
            log.write(events.routerChangesFetched, fields);
            onUpdate();
        }
    }
}

/** Checks if a section has the records whose texts a peer left out. */
function hasUnchanged(section: RecordSection, changes: SectionChanges | undefined): boolean {
    return changes === undefined || section.hasRecords(getUnchanged(changes), Number(changes.frontier));
}

/** Gets the changed records; undefined if the text of one can't be read. */
function getChanged({ records }: SectionChanges): StoreRecord[] | undefined {
    const changed: StoreRecord[] = [];
    for (const record of records) {
        const { key, revision, isDeleted, isUnchanged } = record;
        const text = isDeleted ? undefined : getText(record);
        if (text === undefined && !isDeleted) {
            return undefined;
        }
        if (!isUnchanged) {
            changed.push({ key, revision: Number(revision), text });
        }
    }
    return changed;
}

function getText({ text, compressedText }: StoreRecordMessage): string | undefined {
    return compressedText === "" ? text : CompressedTexts.decompress(compressedText);
}

function getUnchanged({ records }: SectionChanges): RecordRevision[] {
    return records.filter(({ isUnchanged }) => isUnchanged).map(({ key, revision }) => ({
        key,
        revision: Number(revision),
    }));
}
