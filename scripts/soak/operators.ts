import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { NodeWatch } from "./nodeWatch.ts";
import type { SeededRandom } from "./seededRandom.ts";

const operatorCount = 2;

/** Applies different configurations concurrently, as two operators would, and records the versions reported as accepted. */
export async function raceOperators(
    deployment: LocalDeployment,
    watch: NodeWatch,
    random: SeededRandom,
): Promise<void> {
    const weights: number[] = [];
    for (let operator = 0; operator < operatorCount; operator += 1) {
        weights.push(random.chooseInteger(1, 100));
    }
    await Promise.all(weights.map(weight => applyWeight(deployment, watch, weight)));
}

async function applyWeight(deployment: LocalDeployment, watch: NodeWatch, weight: number): Promise<void> {
    const file = deployment.writeConfiguration(configuration => {
        const customers = configuration["customers"] as Record<string, { weight: number; }>;
        customers["clerks"]!.weight = weight;
    });
    const options = ["config", "apply", file, "--store", deployment.platform.address, "--yes"];
    const { lines } = await deployment.runCommand(options);
    for (const line of lines) {
        const [, version] = /Version (\d+) was accepted/.exec(line) ?? [];
        if (version !== undefined) {
            watch.addAcceptedVersion(Number(version));
        }
    }
}
