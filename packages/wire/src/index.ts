export * from './address.js';
export * from './fetch-part.js';
export * from './frame-codec.js';
export * from './link.js';
export * from './memory-transport.js';
export * from './messages.js';
export * from './tcp-transport.js';
export * from './control-client.js';
