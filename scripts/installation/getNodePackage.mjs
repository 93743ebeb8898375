const supportedMachines = ["linux-arm64", "linux-x64"];

/**
 * Gets the folder of the npm package that contains Node.js for a kind of machine, relative to the root of the repository.
 * Plain JavaScript without dependencies, because it runs before anything is installed.
 * @param {string} platform - Operating system, as in `process.platform`.
 * @param {string} architecture - Processor, as in `process.arch`.
 */
export function getNodePackage(platform, architecture) {
    const machine = `${platform}-${architecture}`;
    if (!supportedMachines.includes(machine)) {
        throw new Error(
            `The lock file has no Node.js for ${machine}; use a machine of one of these kinds: ${supportedMachines.join(", ")}.`,
        );
    }
    return `node_modules/node-${machine}`;
}
