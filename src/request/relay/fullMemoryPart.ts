/** An endpoint that refuses with less than this part of its memory taken refuses for another reason than want of room. */
export const fullMemoryPart = 0.6;
