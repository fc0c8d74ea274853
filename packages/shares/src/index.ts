export * from './holder/demand-meter.js';
export * from './holder/held-grant.js';
export * from './holder/share-holder.js';
export * from './holder/slot-lease.js';
export * from './holder/token-bucket.js';
export * from './limits.js';
export * from './share-service.js';
export * from './static-share-service.js';
