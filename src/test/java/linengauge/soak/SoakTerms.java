package linengauge.soak;

import java.util.SplittableRandom;

/**
 * The settings of one run's fronts, drawn from its seed, in the units of the configuration:
 * microseconds and milliseconds.
 */
record SoakTerms(long deadlineMs, int coldMs, int tipMs, int maxAttempts) {
  static final int DRAIN_GRACE_MS = 1000;
  static final int SESSIONS_PER_SERVER = 30;
  static final double FALL_MULTIPLE = 2.5;
  static final double START_CAPACITY = 0.4;
  static final double FREE_RETRIES = 5;
  static final double RETRY_RATIO = 0.3;
  static final int RETRY_SPAN_MS = 5000;
  static final int FLOOR_OF_PAID_CLASS = 1;
  static final int TOP_RUNG = 4;
  static final int MEMORY_MB = 128;
  static final int DESCRIPTORS = 320;

  /**
   * The operators' rules: a process is killed this long after the longest deadline, of which at
   * most 3 s count.
   */
  static final long KILL_AFTER_DEADLINE_MS = 700;

  static final long MAX_COUNTED_DEADLINE_MS = 3000;

  static SoakTerms draw(SplittableRandom random) {
    long[] deadlines = {400, 900, 1500, 3000};
    return new SoakTerms(
        deadlines[random.nextInt(deadlines.length)], 3000, 500, 2 + random.nextInt(3));
  }

  long killAfterMs() {
    return Math.min(deadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS;
  }

  /** The value of `settings` in the configuration. */
  String settings() {
    return """
        {"balancers":3,"charges":{"probe":0.01,"handshake":0.01},
         "domain":{"floorByClass":[0,%d],"highestRung":[%d,%d],"ladderKb":[100,200,400,600,800],
          "places":4,"placesByKind":[%d],"rateFactor":[1,1],"seeUs":1000000,"shelves":2,
          "uplinkKb":900000,"weightKb":200000,"linksKb":1000000,"worthByRung":[0.3,0.5,0.7,0.8,1]},
         "guarantees":{"coldUs":%d,"drainGraceUs":%d,"fallMultiple":%s,"startCapacity":%s,
          "tipAfterUs":%d,"freeResends":%s,"furtherRatio":%s,"ratioSpanUs":%d},
         "kinds":["box"],"loadReport":{"fields":["outstanding","x0","x1"],"how":"pull"},
         "localities":["hall"],"me":%%d,
         "policyLimits":{"dialTimeoutUs":250000,"idleCloseUs":30000000,"maxAttempts":%d,
          "maxRetryAfterUs":500000,"peers":false,"probing":true,"retryAfter":true,
          "secondCopies":false},
         "requestClasses":[
          {"aimUs":400000,"deadlineUs":%d,"idempotency":"safe","name":"lesson","worth":1},
          {"aimUs":400000,"deadlineUs":%d,"idempotency":"unsafe","name":"paid","worth":2}],
         "weights":"rough","zone":0}"""
        .formatted(
            FLOOR_OF_PAID_CLASS,
            TOP_RUNG,
            TOP_RUNG,
            SESSIONS_PER_SERVER,
            1000 * coldMs,
            1000 * DRAIN_GRACE_MS,
            FALL_MULTIPLE,
            START_CAPACITY,
            1000 * tipMs,
            FREE_RETRIES,
            RETRY_RATIO,
            1000 * RETRY_SPAN_MS,
            maxAttempts,
            1000 * deadlineMs,
            1000 * deadlineMs);
  }
}
