import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { NodeStatus } from "../../../src/process/admin/nodeStatus.ts";
import type { Clock } from "../../../src/process/clock.ts";
import { waitUntilInForce } from "../../../src/process/commandLine/configuration/waitUntilInForce.ts";
import { Err, Ok, type Result } from "../../../src/result.ts";

describe("waitUntilInForce", () => {
    /** Responds to each round of polls with the next list of statuses, and repeats the last one. */
    async function wait(rounds: (Partial<NodeStatus> | undefined)[][]) {
        let time = 0;
        const clock: Clock = {
            getMonotonicTime: () => time,
            getWallTime: () => time,
            setTimer: (delay, callback) => {
                time += delay;
                rounds = rounds.length > 1 ? rounds.slice(1) : rounds;
                setImmediate(callback);
                return { cancel: () => undefined };
            },
        };
        const lines: string[] = [];
        const missing = await waitUntilInForce({
            version: 7,
            addresses: ["first", "second"],
            timeoutMilliseconds: 5000,
            clock,
            fetchStatus: async (address): Promise<Result<NodeStatus, string>> => {
                const status = rounds[0]?.[address === "first" ? 0 : 1];
                return status === undefined ? Err("Down.") : Ok({ members: [], ...status } as unknown as NodeStatus);
            },
            printProgress: line => lines.push(line),
        });
        return { missing, lines, time };
    }

    function createMember(vm: string, configurationVersion: number, state = "alive") {
        return { vm, dataCentre: "x", state, configurationVersion };
    }

    it("prints progress until all have the version or a later one", async () => {
        const a = { vm: "a", configurationVersion: 7 };
        const { missing, lines, time } = await wait([
            [a, undefined],
            [a, { vm: "b", configurationVersion: 6 }],
            [a, { vm: "b", configurationVersion: 6 }],
            [a, { vm: "b", configurationVersion: 8 }],
        ]);
        assert.deepEqual(missing, []);
        assert.equal(time, 1500);
        assert.deepEqual(lines, [
            "Version 7 is in force on 1 of 2 nodes; waiting for second.",
            "Version 7 is in force on 1 of 2 nodes; waiting for b.",
            "Version 7 is in force on 2 of 2 nodes.",
        ]);
    });

    it("returns the members that don't have the version in time, except dead ones", async () => {
        const members = [createMember("a", 7), createMember("c", 6), createMember("d", 0, "dead")];
        const { missing } = await wait([[
            { vm: "a", configurationVersion: 7, members },
            { vm: "b", configurationVersion: 7, members: [createMember("a", 5), createMember("c", 5)] },
        ]]);
        assert.deepEqual(missing, ["c"]);
    });

    it("prefers a restarted node's own report over those of other nodes", async () => {
        const a = { vm: "a", configurationVersion: 0 };
        const { missing } = await wait([[
            a,
            { vm: "b", configurationVersion: 7, members: [createMember("a", 7)] },
        ]]);
        assert.deepEqual(missing, ["a"]);
    });
});
