/**
 * Demo of foxlead: starts stand-ins and three nodes as separate processes, applies a configuration with the command line,
 * sends model and document requests through different nodes, and stops gracefully. `--keep` keeps the processes running
 * until Ctrl-C.
 */
import { spawnSync } from "node:child_process";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import { computeReferenceAnswer } from "../standins/engine/referenceModel.ts";
import { LocalDeployment } from "./deployment/localDeployment.ts";
import { sendChat } from "./deployment/sendChat.ts";

/** A row of the printed table. */
interface DemoRow {
    node: string;
    request: string;
    status: number;
    answer: string;
    isRight: string;
    chain: string;
    firstTokenMilliseconds: string;
    betweenTokensMilliseconds: string;
}

const prompts = ["Explain this payslip in plain words", "Summarise the application and ward notes", "Draft the note"];
const maximumTokens = 24;

process.chdir(new URL("..", import.meta.url).pathname);
const keepsRunning = process.argv.includes("--keep");
const build = spawnSync(process.execPath, ["scripts/build.ts"], { encoding: "utf8" });
if (build.status !== 0) {
    throw new Error(`The build failed:\n${build.stdout}${build.stderr}`);
}
console.log("Built dist/foxlead. Starting the platform stand-in, 6 engines, 2 document services and 3 nodes.");
const deployment = await LocalDeployment.create({ nodes: 3, isBuilt: true });
for (const line of await deployment.apply()) {
    console.log(`  ${line}`);
}
const rows: DemoRow[] = [];
for (const [index, prompt] of prompts.entries()) {
    for (const isStreamed of [true, false]) {
        rows.push(await runChat(index, prompt, isStreamed));
    }
}
for (const index of [0, 1, 2]) {
    rows.push(await runDocument(index));
}
console.table(rows);
const areAllCorrect = rows.every(row => row.isRight === "yes");
if (keepsRunning) {
    await waitForInterrupt();
}
const codes = await deployment.stop();
console.log(`Stopped gracefully; exit codes of the nodes: ${codes.join(", ")}.`);
process.exitCode = areAllCorrect && codes.every(code => code === 0) ? 0 : 1;

async function runChat(index: number, prompt: string, isStreamed: boolean): Promise<DemoRow> {
    const node = deployment.nodes[index % deployment.nodes.length]!;
    const answer = await sendChat({
        address: node.callerAddress,
        apiKey: deployment.apiKey,
        service: "assistant",
        prompt,
        maximumTokens,
        isStreamed,
    });
    const expected = computeReferenceAnswer({
        modelLayers: deployment.modelLayers,
        prompt: `user: ${prompt}`,
        maximumTokens,
    });
    return {
        node: node.name,
        request: isStreamed ? "chat, streamed" : "chat, whole",
        status: answer.status,
        answer: `${answer.text.slice(0, 20)}...`,
        isRight: answer.text === expected.text ? "yes" : "NO",
        chain: answer.chain,
        firstTokenMilliseconds: answer.firstTokenMilliseconds.toFixed(1),
        betweenTokensMilliseconds: answer.betweenTokensMilliseconds.toFixed(1),
    };
}

async function runDocument(index: number): Promise<DemoRow> {
    const node = deployment.nodes[index % deployment.nodes.length]!;
    const startedAt = performance.now();
    const response = await request(`http://${node.callerAddress}/v1/services/receipts/monthly/${index}`, {
        method: "POST",
        headers: { authorization: `Bearer ${deployment.apiKey}`, "idempotency-key": createUuid() },
        body: "receipt",
    });
    const body = await response.body.json() as { service: string; execution: number; };
    return {
        node: node.name,
        request: "document, at most once",
        status: response.statusCode,
        answer: `execution ${body.execution}`,
        isRight: response.statusCode === 200 && body.execution === 1 ? "yes" : "NO",
        chain: body.service,
        firstTokenMilliseconds: (performance.now() - startedAt).toFixed(1),
        betweenTokensMilliseconds: "",
    };
}

async function waitForInterrupt(): Promise<void> {
    const { callerAddress, adminAddress } = deployment.nodes[0]!;
    const authorization = `-H 'authorization: Bearer ${deployment.apiKey}'`;
    console.log("The processes keep running until Ctrl-C. Try:");
    console.log(`  curl -N http://${callerAddress}/v1/chat/completions ${authorization} \\`);
    console.log(`    -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Hello"}]}'`);
    console.log(`  curl http://${callerAddress}/v1/models ${authorization}`);
    console.log(`  curl http://${adminAddress}/metrics`);
    console.log(`  dist/foxlead status --admin ${deployment.nodes.map(node => node.adminAddress).join(",")}`);
    // Both the terminal and npm may send the signal; repeated signals are ignored.
    await new Promise<void>(resolve => process.on("SIGINT", () => resolve()));
}
