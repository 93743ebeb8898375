import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { PeerErrorKind } from "../../../src/connection/peer/peerErrorKind.ts";
import { ConfigurationDistributor } from "../../../src/process/membership/configurationDistributor.ts";
import type { ConfigurationText } from "../../../src/process/membership/configurationText.ts";
import { MembershipView } from "../../../src/process/membership/membershipView.ts";
import { Err, Ok } from "../../../src/result.ts";
import {
    AnnounceConfigurationResponseSchema,
    GetConfigurationResponseSchema,
} from "../../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";

const failure = Err({ kind: PeerErrorKind.Unreachable, message: "Down." });

describe("ConfigurationDistributor", () => {
    let current: ConfigurationText | undefined;
    let offered: number[];
    let fetched: string[];
    let announced: string[];
    let failingAddresses: Set<string>;
    let retries: (() => void)[];
    let distributor: ConfigurationDistributor;

    beforeEach(() => {
        current = { version: 4, editId: "e4", text: "{}" };
        offered = [];
        fetched = [];
        announced = [];
        failingAddresses = new Set();
        retries = [];
        const view = MembershipView.create({ nodeId: "self", peerAddress: "s:1", dataCentre: "a", incarnation: 1 });
        const member = { incarnation: 1, state: "alive" as const, dataCentre: "a", configurationVersion: 4 };
        view.applyRecords([{ ...member, nodeId: "b", peerAddress: "b:1" }], 0);
        distributor = ConfigurationDistributor.create({
            view,
            random: () => 0,
            log: { write: () => undefined },
            clock: {
                getMonotonicTime: () => 0,
                getWallTime: () => 0,
                setTimer: (_, callback) => {
                    retries.push(callback);
                    return { cancel: () => undefined };
                },
            },
            callAnnounce: async (address, request) => {
                announced.push(`${address} ${request.version}`);
                return failingAddresses.has(address) ? failure : Ok(create(AnnounceConfigurationResponseSchema, {}));
            },
            callGet: async address => {
                fetched.push(address);
                return failingAddresses.has(address)
                    ? failure
                    : Ok(create(GetConfigurationResponseSchema, { version: 5n, editId: "e5", text: "{}" }));
            },
            getCurrent: () => current,
            offer: configuration => {
                offered.push(configuration.version);
                current = configuration;
            },
        });
    });

    it("shares one fetch per version, tries the next source and announces the applied version", async () => {
        failingAddresses.add("down:1");
        await Promise.all([distributor.pull(5, "down:1"), distributor.pull(5, "b:1"), distributor.pull(5, "c:1")]);
        assert.deepEqual(fetched, ["down:1", "b:1"]);
        assert.deepEqual(offered, [5]);
        assert.deepEqual(announced, ["b:1 5"]);
    });

    it("never fetches or announces a lower version", async () => {
        await distributor.pull(4, "b:1");
        distributor.announce(4);
        distributor.announce(3);
        assert.deepEqual(fetched, []);
        assert.deepEqual(announced, ["b:1 4"]);
        assert.equal(distributor.handleGet({ knownVersion: 4n } as never).version, 0n);
    });

    it("does not offer a version that is no longer higher than the current one when it arrives", async () => {
        const pull = distributor.pull(5, "b:1");
        current = { version: 6, editId: "e6", text: "{}" };
        await pull;
        assert.deepEqual(offered, []);
    });

    it("retries the announcement to an unreachable peer a limited number of times", async () => {
        failingAddresses.add("b:1");
        distributor.announce(4);
        for (let round = 0; round < 10; round++) {
            await new Promise(resolve => setImmediate(resolve));
            retries.shift()?.();
        }
        assert.deepEqual(announced, ["b:1 4", "b:1 4", "b:1 4", "b:1 4"]);
    });
});
