export * from './backends/connections.js';
export * from './forward/attempt.js';
export * from './forward/retry-budget.js';
export * from './request/body-reader.js';
export {answerHeaders, checkHeaderNames, forwardHeaders} from './request/headers.js';
export * from './server/close-barrier.js';
export * from './server/stop-listening.js';
