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
 * What decides or keeps state is free of sockets, threads, files and clocks, and arrows point down
 * only.
 */
@AnalyzeClasses(packages = "linengauge", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  private static final String[] CORES = {
    "linengauge",
    "linengauge.session",
    "linengauge.hls",
    "linengauge.rules",
    "linengauge.flow",
    "linengauge.vrrp",
    "linengauge.vrrp.explore",
    "linengauge.work",
    "linengauge.memory",
    "linengauge.briefing",
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
          .resideInAnyPackage(CORES)
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
          .as("cores hold no sockets, files or threads");

  @ArchTest
  static final ArchRule CORES_READ_NO_CLOCK =
      noClasses()
          .that()
          .resideInAnyPackage(CORES)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .resideInAPackage("java.time..")
          .orShould()
          .callMethod(Math.class, "random");

  @ArchTest
  static final ArchRule THE_JUDGE_KNOWS_NO_FRONT =
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
  static final ArchRule THE_FRONT_KNOWS_NO_STAND_IN =
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
   * Started in little memory: neither the site file's schema nor HTTP, playlists, VRRP, stores or
   * members come with it.
   */
  @ArchTest
  static final ArchRule THE_PLATFORM_IS_LIGHT =
      noClasses()
          .that()
          .resideInAnyPackage("linengauge.platform..", "linengauge.briefing", "linengauge.net")
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
   * The front of the platform acts through its port alone; the port's sockets and the process round
   * it are named here.
   */
  @ArchTest
  static final ArchRule THE_PLATFORM_ACTS_THROUGH_ITS_PORT =
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
  static final ArchRule THE_REHEARSAL_IS_IN_VIRTUAL_TIME =
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
  static final ArchRule STAND_INS_KNOW_NO_FRONT =
      noClasses()
          .that()
          .resideInAPackage("linengauge.standin")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("linengauge", "linengauge.front..", "linengauge.session..");

  @ArchTest
  static final ArchRule THE_ADAPTER_LOADS_NO_LIBRARY_OF_THE_PROGRAM =
      noClasses()
          .that()
          .resideInAnyPackage(
              "linengauge.wire", "linengauge", "linengauge.session", "linengauge.briefing")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx..",
              "picocli..",
              "org.slf4j..",
              "com.fasterxml.jackson.databind..",
              "linengauge.site..");
}
