/** Address that all processes of a local deployment listen on. */
export const loopbackHost = '127.0.0.1';
