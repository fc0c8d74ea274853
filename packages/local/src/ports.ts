/** Loopback address of everything in a local deployment. */
export const host = '127.0.0.1';
