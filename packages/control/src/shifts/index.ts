export * from './max-min-fair-shares.js';
export * from './load-reports.js';
export * from './shift-grantor.js';
export * from './shift-service.js';
