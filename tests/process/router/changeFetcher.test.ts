import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import type { StoreRecord } from "../../../src/process/replica/storeRecord.ts";
import { ChangeFetcher } from "../../../src/process/router/changeFetcher.ts";
import type { RouterPeers } from "../../../src/process/router/routerPeers.ts";
import {
    FetchRequestSchema,
    type FetchResponse,
    FetchResponseSchema,
    SectionFrontierSchema,
} from "../../../src/wire/generated/foxlead/router/v1/router_pb.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

/** A fetch that has no answer fails after this time. */
const fetchTimeoutMilliseconds = 3_000;

describe("ChangeFetcher", () => {
    function createFetcher(
        sections: readonly RecordSection[],
        call: RouterPeers["call"],
        changes: Partial<Parameters<typeof ChangeFetcher.create>[0]> = {},
    ): ChangeFetcher {
        return ChangeFetcher.create({
            sections,
            dataCentre: "a",
            peers: { call },
            clock: FakeClock.create(),
            log: RecordingEventLog.create(),
            isDistributor: () => true,
            onFresh: () => undefined,
            onUpdate: () => undefined,
            ...changes,
        });
    }

    /** Applies a peer's response to a section. */
    async function applyResponse(section: RecordSection, response: FetchResponse): Promise<void> {
        const fetcher = createFetcher([section], <T>() => Promise.resolve(response as T));
        const frontiers = [create(SectionFrontierSchema, { section: "s", revision: 5n })];
        fetcher.handlePeerFrontiers({ address: "peer", dataCentre: "a", frontiers });
        await setImmediate();
    }

    /** Creates a node whose peers have changes up to revision 5. The peer "silent" never answers. */
    function createFixture() {
        const clock = FakeClock.create();
        const section = RecordSection.create({ name: "s", onChange: () => undefined });
        section.applyChanges([], 1, "store");
        const called: string[] = [];
        const call = async <T>(address: string): Promise<T | undefined> => {
            called.push(address);
            if (address === "silent") {
                await new Promise<void>(resolve => clock.setTimer(fetchTimeoutMilliseconds, resolve));
                return undefined;
            }
            const changes = { section: "s", frontier: 5n, records: [{ key: "k", revision: 5n, text: "new" }] };
            return create(FetchResponseSchema, { freshAge: 10, changes }) as T;
        };
        const fetcher = createFetcher([section], call, { clock });
        const tell = (address: string) => {
            const frontiers = [{ $typeName: "foxlead.router.v1.SectionFrontier", section: "s", revision: 5n }] as const;
            fetcher.handlePeerFrontiers({ address, dataCentre: "a", frontiers });
        };
        return { clock, section, called, tell };
    }

    // A peer whose connection was silent kept a node from its other peers for the whole timeout.
    it("fetches from another peer if one does not answer in time", async () => {
        const { clock, section, tell } = createFixture();
        tell("silent");
        await clock.advance(1_100);
        tell("other");
        await clock.advance(10);
        assert.equal(section.getFrontier(), 5);
    });

    it("makes one call at a time while it may still be answered, and none to the silent peer again", async () => {
        const { clock, called, tell } = createFixture();
        tell("silent");
        await clock.advance(500);
        tell("other");
        tell("silent");
        await clock.advance(1_000);
        tell("silent");
        assert.deepEqual(called, ["silent"]);
    });

    // A configuration of some hundred KB took a hub more than a second to send to the nodes of its data centre, one after the other.
    it("sends a long text compressed to a peer that reads it, and in full to any other", async () => {
        const routes = Array.from({ length: 1_600 }, (_, index) => ({ name: `route-${index}`, prefix: `/p${index}/` }));
        const text = JSON.stringify({ version: 2, routes, note: "ñ" });
        const peerSection = RecordSection.create({ name: "s", onChange: () => undefined });
        peerSection.applyChanges(
            [{ key: "k", revision: 5, text }, { key: "d", revision: 4, text: undefined }],
            5,
            "store",
        );
        const peer = createFetcher([peerSection], () => Promise.resolve(undefined));
        const respond = (acceptsCompressed: boolean) =>
            peer.createResponse(create(FetchRequestSchema, { frontier: { section: "s" }, acceptsCompressed }), 0);
        const compressed = respond(true);
        assert.ok(toBinary(FetchResponseSchema, compressed).length < text.length / 4);
        assert.equal(respond(false).changes!.records[0]!.text, text);
        const applied: (string | undefined)[][] = [];
        const section = RecordSection.create({ name: "s", onChange: ({ key, text }) => applied.push([key, text]) });
        await applyResponse(section, compressed);
        assert.deepEqual(applied, [["k", text]]);
    });

    it("keeps its copy as it is if a text can't be decompressed", async () => {
        const section = RecordSection.create({ name: "s", onChange: () => undefined });
        const record = { key: "k", revision: 5n, compressedText: "AQID" };
        const changes = { section: "s", frontier: 5n, records: [record] };
        await applyResponse(section, create(FetchResponseSchema, { changes }));
        assert.equal(section.getFrontier(), 0);
    });

    // A peer got a change of another section after it had told how far it was, and its proof was taken for one of the older copy.
    it("takes a peer's answer for a proof only if it knows all that the peer knows as it answers", async () => {
        for (const [otherFrontier, expected] of [[0n, [0]], [1n, []], [undefined, []]] as const) {
            const freshTimes: number[] = [];
            const told = { section: "s", revision: 5n };
            const frontiers = otherFrontier === undefined ? [] : [told, { section: "other", revision: otherFrontier }];
            const changes = { section: "s", frontier: 5n, records: [] };
            const response = create(FetchResponseSchema, { freshAge: 0, changes, frontiers });
            const sections = ["s", "other"].map(name => RecordSection.create({ name, onChange: () => undefined }));
            const call = <T>() => Promise.resolve(response as T);
            const fetcher = createFetcher(sections, call, { onFresh: freshAt => freshTimes.push(freshAt) });
            const peer = { address: "peer", dataCentre: "a", frontiers: [create(SectionFrontierSchema, told)] };
            fetcher.handlePeerFrontiers(peer);
            await setImmediate();
            assert.deepEqual(freshTimes, expected);
        }
    });

    /** Creates a node whose section has the frontier 108, and a peer that has read a listing at revision 110. */
    function createPair(known: readonly StoreRecord[]) {
        const state = new Map<string, string | undefined>();
        const section = RecordSection.create({ name: "s", onChange: ({ key, text }) => state.set(key, text) });
        section.applyChanges(known, 108, "store");
        const peerSection = RecordSection.create({ name: "s", onChange: () => undefined });
        peerSection.applyListing([configuration, { key: "new", revision: 109, text: "new" }], 110, "store");
        const peer = createFetcher([peerSection], () => Promise.resolve(undefined));
        const responses: FetchResponse[] = [];
        const client = {
            fetch: (request: MessageInitShape<typeof FetchRequestSchema>) => {
                const response = peer.createResponse(create(FetchRequestSchema, request), 10);
                responses.push(response);
                return Promise.resolve(response);
            },
        };
        const fetcher = createFetcher(
            [section],
            (_address, send) => send(client as unknown as Parameters<typeof send>[0]),
        );
        const frontiers = [create(SectionFrontierSchema, { section: "s", revision: 110n })];
        fetcher.handlePeerFrontiers({ address: "peer", dataCentre: "a", frontiers });
        return { section, state, responses };
    }

    const configuration = { key: "configuration", revision: 50, text: "long" };

    // A node that knew a key when a peer's listing no longer had it never heard of the deletion.
    it("deletes a key that the peer's listing lacks, without receiving the texts that it has", async () => {
        const deleted = { key: "endpoint", revision: 60, text: "ready" };
        const { section, state, responses } = createPair([configuration, deleted]);
        await setImmediate();
        assert.deepEqual([...state], [["configuration", "long"], ["endpoint", undefined], ["new", "new"]]);
        assert.equal(section.getFrontier(), 110);
        const texts = responses.map(({ changes }) => changes!.records.map(({ key, text }) => [key, text]));
        assert.deepEqual(texts, [[["new", "new"], ["configuration", ""]]]);
    });

    it("fetches all records if it does not know one whose text the peer left out", async () => {
        const { section, state, responses } = createPair([]);
        await setImmediate();
        assert.deepEqual([...state], [["configuration", "long"], ["new", "new"]]);
        assert.equal(section.getFrontier(), 110);
        assert.equal(responses.length, 2);
    });
});
