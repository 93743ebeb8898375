import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import { ChangeFetcher } from "../../../src/process/router/changeFetcher.ts";
import { FetchResponseSchema } from "../../../src/wire/generated/foxlead/router/v1/router_pb.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

/** A fetch that has no answer fails after this time. */
const fetchTimeoutMilliseconds = 3_000;

describe("ChangeFetcher", () => {
    /** Creates a node whose peers have changes up to revision 5. The peer "silent" never answers. */
    function createFixture() {
        const clock = FakeClock.create();
        const section = RecordSection.create({ name: "s", onChange: () => undefined });
        section.applyChanges([], 1, "store");
        const called: string[] = [];
        const fetcher = ChangeFetcher.create({
            sections: [section],
            dataCentre: "a",
            peers: {
                async call<T>(address: string): Promise<T | undefined> {
                    called.push(address);
                    if (address === "silent") {
                        await new Promise<void>(resolve => clock.setTimer(fetchTimeoutMilliseconds, resolve));
                        return undefined;
                    }
                    const changes = {
                        section: "s",
                        frontier: 5n,
                        records: [{ key: "k", revision: 5n, text: "new" }],
                    };
                    return create(FetchResponseSchema, { freshAge: 10, changes }) as T;
                },
            },
            clock,
            log: RecordingEventLog.create(),
            isHub: () => true,
            onFresh: () => undefined,
            onUpdate: () => undefined,
        });
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
});
