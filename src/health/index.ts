/** Health of targets: evidence, outlier detection, and the ejection and readmission of unhealthy targets. */
export { OUTCOMES, isPathFailure, mayBePathFailure, healthSignalOf, type Count, type Outcome } from './outcome.js'
export { createCollector, type Collector } from './collector.js'
export { createEvidence, type Evidence, type EvidenceSummary } from './evidence.js'
export { createReportHistory, type AgedCounts, type ReportHistory } from './report-history.js'
export { createOutlierDetector, THRESHOLDS, type OutlierDetector, type Verdict } from './outlier-detector.js'
export { createEjections, slowStartSlots, type Ejection, type Ejections, type EjectionPhase } from './ejection.js'
