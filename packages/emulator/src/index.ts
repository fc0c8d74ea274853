export * from './backend-server.js';
export * from './store-server.js';
export * from './tcp-relay.js';
