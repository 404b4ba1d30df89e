package linengauge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.net.URI;
import java.net.URISyntaxException;

/**
 * Code that makes decisions or keeps state uses no sockets, threads, files or clocks, and packages
 * depend on lower layers only.
 */
@AnalyzeClasses(packages = "linengauge", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  private static final String[] CORE_PACKAGES = {
    "linengauge",
    "linengauge.session",
    "linengauge.hls",
    "linengauge.rules",
    "linengauge.flow",
    "linengauge.vrrp",
    "linengauge.vrrp.explore",
    "linengauge.work",
    "linengauge.memory",
    "linengauge.settings",
    "linengauge.platform.codec",
    "linengauge.platform.connection",
    "linengauge.membership",
    "linengauge.membership.explore",
    "linengauge.lease",
    "linengauge.consensus",
    "linengauge.consensus.explore",
    "linengauge.zones",
    "linengauge.virtualtime",
    "linengauge.lease.explore",
    "linengauge.scale.fit"
  };

  @ArchTest
  static final ArchRule CORES_DO_NO_IO =
      noClasses()
          .that()
          .resideInAnyPackage(CORE_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx..",
              "io.netty..",
              "java.net.http..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.util.concurrent..",
              "linengauge.front..",
              "linengauge.standin..",
              "linengauge.drill..")
          .orShould()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("java.net")
                  .and(
                      DescribedPredicate.not(
                          JavaClass.Predicates.belongToAnyOf(URI.class, URISyntaxException.class))))
          .as("core packages use no sockets, files or threads");

  @ArchTest
  static final ArchRule CORES_READ_NO_CLOCK =
      noClasses()
          .that()
          .resideInAnyPackage(CORE_PACKAGES)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .resideInAPackage("java.time..")
          .orShould()
          .callMethod(Math.class, "random");

  /** The rule checker judges recorded runs and shares no code, and so no fault, with the front. */
  @ArchTest
  static final ArchRule THE_RULE_CHECKER_DOES_NOT_DEPEND_ON_THE_FRONT =
      noClasses()
          .that()
          .resideInAPackage("linengauge.rules")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "linengauge",
              "linengauge.session..",
              "linengauge.site..",
              "linengauge.front..",
              "linengauge.standin..",
              "linengauge.drill..");

  @ArchTest
  static final ArchRule THE_FRONT_DOES_NOT_DEPEND_ON_STAND_INS =
      noClasses()
          .that()
          .resideInAnyPackage(
              "linengauge.front..",
              "linengauge.session..",
              "linengauge.site..",
              "linengauge.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "linengauge.standin..",
              "linengauge.drill..",
              "linengauge.cli..",
              "linengauge.rules..");

  /**
   * The platform front has to start in little memory, so it loads neither the schema of the site
   * file nor HTTP, playlists, VRRP, stores or membership.
   */
  @ArchTest
  static final ArchRule THE_PLATFORM_HAS_FEW_DEPENDENCIES =
      noClasses()
          .that()
          .resideInAnyPackage("linengauge.platform..", "linengauge.settings", "linengauge.net")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "linengauge.front..",
              "linengauge.site..",
              "linengauge.hls..",
              "linengauge.vrrp..",
              "linengauge.memory..",
              "linengauge.work..",
              "linengauge.membership..",
              "linengauge.lease..",
              "linengauge.consensus..",
              "linengauge.lease..",
              "linengauge.udp..",
              "linengauge.scale..",
              "linengauge.zones..",
              "linengauge.scale..",
              "org.apache.commons..",
              "com.fasterxml.jackson.databind..",
              "com.networknt..",
              "picocli..",
              "io.vertx.core.http..");

  /**
   * The platform front does all input and output through its port, the interface {@code Net}, so
   * that it also runs in virtual time. Exempt are the classes that implement the port with sockets
   * and those that run the process.
   */
  @ArchTest
  static final ArchRule THE_PLATFORM_DOES_IO_THROUGH_ITS_PORT =
      noClasses()
          .that()
          .resideInAPackage("linengauge.platform..")
          .and()
          .doNotHaveSimpleName("VertxNet")
          .and()
          .doNotHaveSimpleName("OneLoopTransport")
          .and()
          .doNotHaveSimpleName("Socket")
          .and()
          .doNotHaveSimpleName("Service")
          .and()
          .doNotHaveSimpleName("TryOut")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx..",
              "io.netty..",
              "java.net..",
              "java.nio.channels..",
              "java.util.concurrent..",
              "linengauge.net..")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule THE_REHEARSAL_RUNS_IN_VIRTUAL_TIME =
      noClasses()
          .that()
          .resideInAPackage("linengauge.rehearsal")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx..",
              "io.netty..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.util.concurrent..",
              "linengauge.net..")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Math.class, "random");

  @ArchTest
  static final ArchRule STAND_INS_DO_NOT_DEPEND_ON_THE_FRONT =
      noClasses()
          .that()
          .resideInAPackage("linengauge.standin")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("linengauge", "linengauge.front..", "linengauge.session..");

  @ArchTest
  static final ArchRule THE_WIRE_ADAPTER_USES_NO_SERVER_LIBRARIES =
      noClasses()
          .that()
          .resideInAnyPackage(
              "linengauge.wire", "linengauge", "linengauge.session", "linengauge.settings")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx..",
              "picocli..",
              "org.slf4j..",
              "com.fasterxml.jackson.databind..",
              "linengauge.site..");
}
