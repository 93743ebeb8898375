/** Gets if the tests of a file play crowds of callers, which load the machine. */
export function isCrowdTest(file: string): boolean {
    return file.startsWith("tests/crowd/");
}
