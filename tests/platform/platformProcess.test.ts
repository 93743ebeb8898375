import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createBootFile } from "../../standins/router/createBootFile.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";
import { waitUntil } from "../support/waitUntil.ts";

const startMilliseconds = 15_000;

describe("The program on the platform", () => {
    let store: KeyValueStandin;
    let endpoint: EndpointStandin;
    let folder: string;
    let ports: number[];
    let child: ChildProcess;
    let output = "";

    before(async () => {
        store = await KeyValueStandin.create();
        endpoint = await EndpointStandin.create({ id: "first" });
        store.put("op/config", createConfiguration(1));
        const record = createEndpointRecord({ service: "documents", address: endpoint.getAddress() });
        store.put("servers/first", record);
        ports = await findFreePorts(5);
        folder = mkdtempSync(join(tmpdir(), "foxlead-platform-"));
        writeBootFile("node.yaml", ports);
        writeBootFile("starting.yaml", await findFreePorts(5));
        child = start(join(folder, "node.yaml"));
        child.stdout!.on("data", (chunk: Buffer) => output += chunk.toString("utf8"));
        await waitUntilReady();
    });

    after(async () => {
        child.kill("SIGKILL");
        await endpoint.close();
        await store.close();
        rmSync(folder, { recursive: true });
    });

    function writeBootFile(name: string, [callers, readiness, peers, admin, tunnels]: number[]): void {
        const boot = createBootFile({
            vm: "edge-1",
            dataCentre: "a",
            callers: callers!,
            readiness: readiness!,
            peers: peers!,
            admin: admin!,
            tunnels: tunnels!,
            seeds: [],
            store: store.getAddress(),
        });
        writeFileSync(join(folder, name), boot);
    }

    function start(file: string): ChildProcess {
        const options = ["src/main.ts", "platform", "--settings", file];
        return spawn(process.execPath, options, { stdio: ["ignore", "pipe", "inherit"] });
    }

    async function getReadiness(): Promise<number> {
        const response = await fetch(`http://127.0.0.1:${ports[1]}/v1/readiness`).catch(() => undefined);
        return response?.status ?? 0;
    }

    async function waitUntilReady(): Promise<void> {
        for (let waited = 0; waited < startMilliseconds; waited += 50) {
            if (await getReadiness() === 200 && output.includes("FL1810")) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        throw new Error(`The program was not ready in time: ${output}`);
    }

    /** Waits until the program has logged an event or has ended. */
    async function waitForEvent(event: string): Promise<void> {
        for (let waited = 0; waited < startMilliseconds && !output.includes(event); waited += 20) {
            if (child.exitCode !== null) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    function call(id: string) {
        return request(`http://127.0.0.1:${ports[0]}/unsafe/x`, {
            method: "POST",
            headers: { host: "one.example", "request-id": id, authorization: "Bearer key-of-one" },
        });
    }

    it("serves metrics and keeps running when its settings are reloaded", async () => {
        const metrics = await (await fetch(`http://127.0.0.1:${ports[3]}/metrics`)).text();
        assert.match(metrics, /foxlead_configuration_version 1/);
        child.kill("SIGHUP");
        await waitForEvent("FL1005");
        assert.match(output, /FL1005/);
        assert.equal(await getReadiness(), 200);
    });

    it("answers the requests of a kept connection that are sent in parts while its settings are reloaded", async () => {
        const caller = await RawCaller.connect(`127.0.0.1:${ports[0]}`);
        const head = `POST /safe/x HTTP/1.1\r\nHost: one.example\r\nAuthorization: Bearer ${callerKey}\r\n`;
        for (let count = 1; count <= 3; count += 1) {
            const framing = `Request-Id: part-${count}\r\nRequest-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\n`;
            for (const part of [head.slice(0, 30), head.slice(30) + framing, "bo", "dy"]) {
                caller.write(part);
                child.kill("SIGHUP");
                await new Promise(resolve => setTimeout(resolve, 20));
            }
        }
        await waitUntil("all are answered", () => caller.getReceived().match(/HTTP\/1\.1 200 /g)?.length === 3);
        caller.socket.destroy();
    });

    it("keeps running when its settings are reloaded while the file is being replaced", async () => {
        const file = join(folder, "node.yaml");
        renameSync(file, `${file}.old`);
        child.kill("SIGHUP");
        await waitForEvent("FL1006");
        renameSync(`${file}.old`, file);
        assert.match(output, /FL1006.*ENOENT/);
        assert.equal(await getReadiness(), 200);
    });

    it("ends with 0 at a SIGTERM while it starts, whatever was reloaded before", async () => {
        const starting = start(join(folder, "starting.yaml"));
        await once(starting.stdout!, "data");
        starting.kill("SIGHUP");
        starting.kill("SIGTERM");
        assert.deepEqual(await once(starting, "exit"), [0, null]);
    });

    // A second SIGTERM ended the process at once, and closed the connections of all requests that it had accepted without an answer.
    it("completes requests that arrive before and shortly after SIGTERM, also if another follows, and exits with 0", async () => {
        endpoint.behaviour = { delayMilliseconds: 1_000 };
        const taken = call("before");
        await new Promise(resolve => setTimeout(resolve, 200));
        child.kill("SIGTERM");
        await new Promise(resolve => setTimeout(resolve, 200));
        assert.equal(await getReadiness(), 503);
        const late = call("after");
        await waitUntil("both run", () => endpoint.runs.some(({ id }) => id === "after"));
        child.kill("SIGTERM");
        for (const answer of [await taken, await late]) {
            assert.equal(answer.statusCode, 200);
            assert.equal(answer.headers.connection, "close");
            assert.equal(await answer.body.text(), "answer of first");
        }
        const [code] = await once(child, "exit") as [number];
        assert.equal(code, 0);
        assert.match(output, /FL1002[^]*FL1003/);
    });
});
