export * from './claim-authority.js';
export * from './claim-service.js';
export * from './memory-claim-service.js';
export * from './order-key/order-id.js';
export * from './order-key/order-key.js';
export * from './ticket/ticket-authority.js';
