import assert from "node:assert/strict";
import { Crowd } from "./crowd.ts";
import { crowdLimits } from "./crowdLimits.ts";
import type { CrowdPlan } from "./crowdPlan.ts";
import type { RouterProcess } from "./routerProcess.ts";

const bytesPerMegabyte = 1_000_000;

/**
 * Plays a crowd beside ordinary callers. Checks that the process lives, that its memory and its descriptors stay within its limits, and that
 * ordinary requests are answered while the crowd holds its connections and afterwards.
 * @param router - The process.
 * @param plan - The crowd.
 * @param path - Path of the ordinary requests.
 */
export async function playCrowd(router: RouterProcess, plan: CrowdPlan, path: string): Promise<void> {
    const crowd = Crowd.create(plan);
    try {
        await crowd.waitUntilSent();
        assertWithinLimits(router);
        await router.waitForAnswer(path);
        assertWithinLimits(router);
    }
    finally {
        await crowd.leave();
    }
    await router.waitForAnswer(path);
    assertWithinLimits(router);
}

/** Checks that the process lives and is within the limits of its machine. */
export function assertWithinLimits(router: RouterProcess): void {
    assert.ok(router.isAlive(), "the process has ended");
    const { memoryMegabytes, descriptors } = crowdLimits;
    const megabytes = Math.round(router.getPeakMemory() / bytesPerMegabyte);
    assert.ok(megabytes <= memoryMegabytes, `${megabytes} MB were used; the machine has ${memoryMegabytes} MB`);
    const open = router.getDescriptorCount();
    assert.ok(open <= descriptors, `${open} descriptors are open; the process may open ${descriptors}`);
}
