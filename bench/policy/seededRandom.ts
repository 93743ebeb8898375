/** Stands here until the benches that were being written at the move import the source itself. */
export { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
