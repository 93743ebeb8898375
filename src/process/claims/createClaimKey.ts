/**
 * Creates the claim key of a request.
 * @param customer - Customer name.
 * @param idempotencyKey - The caller's UUID version 7, in upper or lower case.
 */
export function createClaimKey(customer: string, idempotencyKey: string): string {
    return `${customer}/${idempotencyKey.toLowerCase()}`;
}
